#include "savoryreach/config/declaration.hpp"
#include "savoryreach/keeper/keeper_service.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

namespace savoryreach::keeper
{
namespace
{

/// Bounds the memory of requests in progress; further ones are dropped and resent by their senders.
constexpr std::size_t max_in_progress = 65'536;

} // namespace

void keeper_service::on_request(const base::node_name& from, const schema::keeper_request& request)
{
    const request_key key{from, request.request_id()};
    follow_leadership();
    if (draining_ || !log_.can_serve())
    {
        reply_not_leader(key);
        return;
    }
    if (in_progress_.contains(key))
    {
        return;
    }
    bool answer = true;
    schema::keeper_reply out;
    switch (request.body_case())
    {
    case schema::keeper_request::kRenewEntry:
        out = renewed_entry(request.renew_entry(), answer);
        break;
    case schema::keeper_request::kRenewAgent:
        out = renewed_agent(request.renew_agent());
        break;
    case schema::keeper_request::kView:
        out = viewed(request.view());
        break;
    case schema::keeper_request::kFenceInfo:
        *out.mutable_fence_info() = ledger_.fence_info(request.fence_info().epoch());
        break;
    default:
        answer = false;
        if (in_progress_.size() < max_in_progress)
        {
            on_proposal(key, request);
        }
        break;
    }
    if (answer)
    {
        reply(key, std::move(out));
    }
}

void keeper_service::on_proposal(const request_key& key, const schema::keeper_request& request)
{
    schema::command command;
    switch (request.body_case())
    {
    case schema::keeper_request::kClaims:
        on_claims(key, request.claims());
        return;
    case schema::keeper_request::kApplyConfig:
        on_config(key, request.apply_config());
        return;
    case schema::keeper_request::kChangeKeepers:
        on_change_keepers(key, request.change_keepers());
        return;
    case schema::keeper_request::kJoinEntry:
        *command.mutable_join_entry() = request.join_entry();
        break;
    case schema::keeper_request::kLeaveEntry:
        *command.mutable_leave_entry() = request.leave_entry();
        break;
    case schema::keeper_request::kRegisterAgent:
        *command.mutable_register_agent() = request.register_agent();
        break;
    case schema::keeper_request::kLeaveAgent:
        *command.mutable_leave_agent() = request.leave_agent();
        break;
    case schema::keeper_request::kFinishes:
        *command.mutable_finishes() = request.finishes();
        break;
    default:
        return; // an empty request, or one of a later version
    }
    propose_for(key, std::move(command));
}

void keeper_service::on_claims(const request_key& key, const schema::claim_batch& batch)
{
    if (batcher_.add(key, batch))
    {
        in_progress_.insert(key);
    }
}

void keeper_service::on_config(const request_key& key, const schema::apply_config& apply)
{
    if (const auto why = config::validate(apply.declaration()))
    {
        schema::keeper_reply out;
        out.mutable_apply_config()->set_error_kind(static_cast<std::uint32_t>(why->kind));
        out.mutable_apply_config()->set_reason(why->text);
        reply(key, std::move(out));
        return;
    }
    schema::command command;
    *command.mutable_apply_config() = apply;
    propose_for(key, std::move(command));
}

void keeper_service::on_change_keepers(const request_key& key, const schema::change_keepers& change)
{
    std::string why;
    const auto index = log_.change_members(change, why);
    if (index && *index > log_.applied_index())
    {
        in_progress_.insert(key);
        waiters_[*index].emplace_back(key, 0);
        return;
    }
    schema::keeper_reply out;
    out.mutable_change_keepers()->set_accepted(index.has_value());
    out.mutable_change_keepers()->set_reason(why);
    reply(key, std::move(out));
}

schema::keeper_reply keeper_service::renewed_entry(const schema::renew_entry& renewal, bool& answer)
{
    schema::keeper_reply out;
    auto& renew = *out.mutable_renew();
    if (ledger_.epochs().standing(renewal.epoch()) != epoch_standing::live)
    {
        renew.set_fenced(true);
        return out;
    }
    // While the expiry is on its way there is nothing to say: the epoch has no lease and is not
    // fenced yet.
    answer = leases_.renew_entry(renewal.epoch(), ports_.clock.now());
    leases_.note_entry(renewal);
    renew.set_lease_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry_lease_time)));
    *renew.mutable_view() =
        ledger_.view_since(renewal.membership_revision(), renewal.config_revision());
    return out;
}

schema::keeper_reply keeper_service::renewed_agent(const schema::renew_agent& renewal)
{
    schema::keeper_reply out;
    auto& renew = *out.mutable_renew_agent();
    if (!ledger_.agents().is_registered(renewal.name(), renewal.incarnation()))
    {
        renew.set_expired(true);
        return out;
    }
    leases_.renew_agent(renewal.name(), renewal.incarnation(), ports_.clock.now());
    *renew.mutable_view() = ledger_.membership_view();
    return out;
}

schema::keeper_reply keeper_service::viewed(const schema::view_request& request) const
{
    schema::keeper_reply out;
    auto& view = *out.mutable_view();
    *view.mutable_view() =
        ledger_.view_since(request.membership_revision(), request.config_revision());
    for (const auto epoch : ledger_.epochs().live())
    {
        const auto& reported = leases_.reported(epoch);
        auto& entry = *view.add_entries();
        entry.set_name(ledger_.epochs().find(epoch)->join().name());
        entry.set_epoch(epoch);
        entry.set_config_revision(reported.config_revision());
        entry.set_slowest_agent_revision(reported.slowest_agent_revision());
        entry.set_lagging_agents(reported.lagging_agents());
    }
    for (const auto& member : log_.members().current().members())
    {
        auto& keeper = *view.add_keepers();
        keeper.set_name(member.name());
        keeper.set_voter(member.voter());
        keeper.set_match_index(log_.match_index(member.name()));
    }
    return out;
}

// ---- leading ----

} // namespace savoryreach::keeper
