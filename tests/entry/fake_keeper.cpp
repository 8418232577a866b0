#include "tests/entry/fake_keeper.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{
constexpr std::uint32_t lease_ms = 3000;
} // namespace

fake_keeper::fake_keeper(simulation::fake_network& network)
    : network_(network), transport_(network.transport_of(base::node_name("k1")))
{
    network_.attach(base::node_name("k1"),
                    [this](const base::node_name& from, const schema::envelope& message)
                    { receive(from, message); });
}

bool fake_keeper::is_fenced(std::uint64_t epoch) const
{
    return std::ranges::find(fenced_, epoch) != fenced_.end();
}

schema::cluster_view fake_keeper::view() const
{
    schema::cluster_view view;
    view.set_membership_revision(revision_);
    view.mutable_entries()->Add(members_.begin(), members_.end());
    view.mutable_fenced_epochs()->Add(fenced_.begin(), fenced_.end());
    view.set_config_revision(config_.size());
    view.set_config_complete(true);
    view.mutable_config()->Add(config_.begin(), config_.end());
    return view;
}

void fake_keeper::push_view()
{
    for (const auto& it : members_)
    {
        schema::envelope message;
        *message.mutable_view_push()->mutable_view() = view();
        transport_->send(base::node_name(it.name()), std::move(message));
    }
}

void fake_keeper::configure(schema::declaration declaration)
{
    schema::config_entry it;
    it.set_config_revision(config_.size() + 1);
    *it.mutable_declaration() = std::move(declaration);
    config_.push_back(std::move(it));
    push_view();
}

void fake_keeper::remove(std::uint64_t epoch)
{
    std::erase_if(members_,
                  [epoch](const schema::entry_member& it) { return it.epoch() == epoch; });
    fenced_.push_back(epoch);
    ++revision_;
    push_view();
}

void fake_keeper::fence(std::uint64_t epoch)
{
    remove(epoch);
}

schema::claim_result fake_keeper::claim(std::uint64_t epoch, const schema::claim& it)
{
    schema::claim_result result;
    ++claims;
    if (const auto known = scripted.find(it.submission_id()); known != scripted.end())
    {
        result.set_outcome(known->second);
        return result;
    }
    auto [known, is_new] = records_.try_emplace(it.submission_id());
    auto& record = known->second;
    if (is_new)
    {
        record.digest = it.digest();
        record.owners.push_back(epoch);
    }
    const auto owner = record.owners.back();
    result.set_outcome(schema::claim_granted);
    if (record.digest != it.digest())
    {
        result.set_outcome(schema::claim_conflict);
    }
    else if (record.is_finished)
    {
        result.set_outcome(schema::claim_finished);
    }
    else if (owner != epoch && is_fenced(owner))
    {
        result.set_outcome(schema::claim_taken_over);
        result.set_previous_epoch(owner);
        result.mutable_earlier_epochs()->Add(record.owners.begin(), record.owners.end());
        record.owners.push_back(epoch);
    }
    else if (owner != epoch)
    {
        result.set_outcome(schema::claim_owned);
        const auto member = std::ranges::find(members_, owner, &schema::entry_member::epoch);
        result.set_owner(member->name());
    }
    return result;
}

void fake_keeper::receive(const base::node_name& from, const schema::envelope& message)
{
    const auto& request = message.keeper_request();
    const bool is_ignored = is_silent || (request.has_claims() && !answers_claims) ||
                            (request.has_finishes() && !answers_finishes);
    if (is_ignored)
    {
        return;
    }
    schema::envelope envelope;
    auto& reply = *envelope.mutable_keeper_reply();
    reply.set_request_id(request.request_id());
    reply.set_keeper("k1");
    reply_to(request, reply);
    transport_->send(from, std::move(envelope));
}

void fake_keeper::reply_to(const schema::keeper_request& request, schema::keeper_reply& reply)
{
    if (request.has_join_entry())
    {
        auto& epoch = epoch_of_nonce_[request.join_entry().process_nonce()];
        if (epoch == 0)
        {
            epoch = ++last_epoch_;
            epochs[request.sender()] = epoch;
            schema::entry_member member;
            member.set_name(request.sender());
            member.set_epoch(epoch);
            members_.push_back(member);
            ++revision_;
            push_view();
        }
        reply.mutable_join()->set_epoch(epoch);
        reply.mutable_join()->set_lease_ms(lease_ms);
        *reply.mutable_join()->mutable_view() = view();
    }
    else if (request.has_renew_entry())
    {
        const bool fenced = is_fenced(request.renew_entry().epoch());
        reply.mutable_renew()->set_fenced(fenced);
        reply.mutable_renew()->set_lease_ms(fenced ? 0 : lease_ms);
        *reply.mutable_renew()->mutable_view() = view();
    }
    else if (request.has_claims())
    {
        ++claim_batches;
        reply.mutable_claims();
        for (const auto& it : request.claims().claims())
        {
            *reply.mutable_claims()->add_results() = claim(request.claims().owner_epoch(), it);
        }
    }
    else if (request.has_finishes())
    {
        reply.mutable_finishes();
        for (const auto& id : request.finishes().submission_ids())
        {
            records_[id].is_finished = true;
            finished.push_back(id);
        }
    }
    else if (request.has_fence_info())
    {
        reply.mutable_fence_info()->set_fenced(is_fenced(request.fence_info().epoch()));
        reply.mutable_fence_info()->mutable_agents()->Add(agents.begin(), agents.end());
    }
    else if (request.has_leave_entry())
    {
        ++leaves;
        reply.mutable_leave();
        remove(request.leave_entry().epoch());
    }
}

} // namespace savoryreach::entry
