#include "savoryreach/entry/membership.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{

membership::membership(entry_context& context, keeper_client& keepers, hooks handlers)
    : context_(context), keepers_(keepers), hooks_(std::move(handlers)),
      nonce_(context.ports.random.next())
{
}

bool membership::has_lease() const
{
    return epoch_ != 0 && phase_ != phase::left && context_.now() < lease_until_;
}

void membership::tick(absl::FunctionRef<agent_progress()> agents)
{
    const auto now = context_.now();
    if (phase_ == phase::joining && request_ == 0)
    {
        join();
    }
    if (phase_ == phase::live && now >= renew_at_)
    {
        renew(agents());
    }
    if (must_report_lease_loss_ && now >= lease_until_)
    {
        must_report_lease_loss_ = false;
        context_.ports.events.record("lease_lost", {{"epoch", absl::StrCat(epoch_)}});
        hooks_.lease_lost();
    }
}

void membership::join()
{
    schema::keeper_request request;
    auto& body = *request.mutable_join_entry();
    const auto& common = context_.settings.common();
    body.set_name(common.name());
    body.set_address(common.listen());
    body.set_data_centre(common.data_centre());
    body.set_process_nonce(nonce_);
    request_ = keepers_.call(std::move(request),
                             [this](const schema::keeper_reply& reply, absl::Time sent_at)
                             {
                                 request_ = 0;
                                 joined(reply.join(), sent_at);
                             });
}

void membership::joined(const schema::join_reply& reply, absl::Time sent_at)
{
    if (reply.epoch() == 0)
    {
        return;
    }
    epoch_ = reply.epoch();
    phase_ = phase::live;
    lease_until_ = sent_at + absl::Milliseconds(reply.lease_ms());
    renew_at_ = sent_at + renew_interval;
    must_report_lease_loss_ = true;
    const auto is_other = [this](const schema::entry_member& it)
    {
        return it.epoch() != epoch_;
    };
    has_predecessors_ = reply.view().fenced_epochs_size() > 0 ||
                        std::ranges::any_of(reply.view().entries(), is_other);
    apply(reply.view(), true);
    if (phase_ == phase::live)
    {
        hooks_.joined();
    }
}

void membership::renew(const agent_progress& agents)
{
    // An unanswered renewal is replaced, so that the lease is counted from the later request.
    if (request_ != 0)
    {
        keepers_.cancel(request_);
    }
    renew_at_ = context_.now() + renew_interval;
    schema::keeper_request request;
    auto& body = *request.mutable_renew_entry();
    body.set_epoch(epoch_);
    body.set_config_revision(config_revision_);
    body.set_membership_revision(membership_revision_);
    body.set_slowest_agent_revision(agents.slowest_revision);
    body.set_lagging_agents(agents.lagging);
    request_ = keepers_.call(std::move(request),
                             [this](const schema::keeper_reply& reply, absl::Time sent_at)
                             {
                                 request_ = 0;
                                 renewed(reply.renew(), sent_at);
                             });
}

void membership::renewed(const schema::renew_reply& reply, absl::Time sent_at)
{
    if (reply.fenced())
    {
        epoch_fenced();
        return;
    }
    const auto until = sent_at + absl::Milliseconds(reply.lease_ms());
    lease_until_ = std::max(lease_until_, until);
    must_report_lease_loss_ = must_report_lease_loss_ || context_.now() < lease_until_;
    apply(reply.view(), true);
}

void membership::receive_pushed_view(const schema::cluster_view& view)
{
    if (epoch_ != 0)
    {
        apply(view, false);
    }
}

void membership::apply(const schema::cluster_view& view, bool starts_at_own_revision)
{
    apply_config(view, starts_at_own_revision);
    apply_members(view);
}

void membership::apply_members(const schema::cluster_view& view)
{
    if (view.membership_revision() <= membership_revision_)
    {
        return;
    }
    membership_revision_ = view.membership_revision();
    entries_.assign(view.entries().begin(), view.entries().end());
    fenced_.assign(view.fenced_epochs().begin(), view.fenced_epochs().end());
    for (const auto& it : entries_)
    {
        if (it.name() != context_.self.value())
        {
            context_.ports.transport.learn_address(base::node_name(it.name()), it.address());
        }
    }
    if (std::ranges::find(fenced_, epoch_) != fenced_.end())
    {
        epoch_fenced();
        return;
    }
    hooks_.view_changed();
}

void membership::apply_config(const schema::cluster_view& view, bool starts_at_own_revision)
{
    if (view.config_revision() <= config_revision_)
    {
        return;
    }
    const auto is_next = [this](const schema::config_entry& it)
    {
        return it.config_revision() == config_revision_ + 1;
    };
    if (!view.config_complete() && !starts_at_own_revision &&
        !std::ranges::any_of(view.config(), is_next))
    {
        // An earlier push was lost. A renewal reports this process's revision and returns the
        // missing declarations.
        renew_at_ = context_.now();
        return;
    }
    config_revision_ = view.config_revision();
    for (const auto& it : view.config())
    {
        auto& kept = config_[it.declaration().name()];
        if (kept.config_revision() < it.config_revision())
        {
            kept = it;
            hooks_.config_changed(kept.declaration());
        }
    }
}

void membership::epoch_fenced()
{
    if (phase_ == phase::leaving)
    {
        // No task of the epoch is running, so being fenced is equivalent to leaving.
        keepers_.cancel(request_);
        request_ = 0;
        phase_ = phase::left;
        return;
    }
    if (phase_ != phase::live)
    {
        return;
    }
    const bool had_lease = std::exchange(must_report_lease_loss_, false);
    if (had_lease)
    {
        context_.ports.events.record("lease_lost", {{"epoch", absl::StrCat(epoch_)}});
    }
    hooks_.fenced();
    reset_to_joining();
}

void membership::reset_to_joining()
{
    keepers_.cancel_all();
    request_ = 0;
    phase_ = phase::joining;
    epoch_ = 0;
    lease_until_ = absl::InfinitePast();
    nonce_ = context_.ports.random.next();
}

void membership::leave()
{
    if (phase_ == phase::leaving || phase_ == phase::left)
    {
        return;
    }
    if (request_ != 0)
    {
        keepers_.cancel(request_);
        request_ = 0;
    }
    if (epoch_ == 0)
    {
        phase_ = phase::left;
        return;
    }
    phase_ = phase::leaving;
    must_report_lease_loss_ = false;
    schema::keeper_request request;
    request.mutable_leave_entry()->set_epoch(epoch_);
    request_ = keepers_.call(std::move(request),
                             [this](const schema::keeper_reply&, absl::Time)
                             {
                                 request_ = 0;
                                 phase_ = phase::left;
                             });
}

std::vector<route_member> membership::members() const
{
    std::vector<route_member> members;
    members.reserve(entries_.size());
    for (const auto& it : entries_)
    {
        members.push_back(route_member{base::node_name(it.name()), it.epoch()});
    }
    return members;
}

bool membership::is_live(const base::node_name& entry) const
{
    return std::ranges::any_of(entries_, [&](const schema::entry_member& it)
                               { return it.name() == entry.value(); });
}

schema::cluster_view membership::view_for(std::uint64_t agent_revision, bool with_members) const
{
    schema::cluster_view view;
    view.set_config_revision(config_revision_);
    view.set_config_complete(agent_revision == 0);
    if (with_members)
    {
        view.set_membership_revision(membership_revision_);
        view.mutable_entries()->Add(entries_.begin(), entries_.end());
        view.mutable_fenced_epochs()->Add(fenced_.begin(), fenced_.end());
    }
    // Nearly all agents are up to date. Visiting thousands of declarations for each heartbeat would
    // take a fifth of a processor core at the design size.
    if (agent_revision >= config_revision_)
    {
        return view;
    }
    for (const auto& [name, it] : config_)
    {
        if (it.config_revision() > agent_revision)
        {
            *view.add_config() = it;
        }
    }
    return view;
}

} // namespace savoryreach::entry
