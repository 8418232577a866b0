#include "savoryreach/keeper/keeper_service.hpp"

#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace savoryreach::keeper
{
namespace
{

constexpr std::uint32_t default_snapshot_every = 50'000;
/// Limit of the wait for another leader during a drain.
constexpr absl::Duration max_drain_time = absl::Seconds(2);

log_options make_log_options(const schema::keeper_settings& settings)
{
    log_options options;
    options.self = settings.common().name();
    options.snapshot_every =
        settings.snapshot_every() != 0 ? settings.snapshot_every() : default_snapshot_every;
    if (!settings.join_as_learner())
    {
        for (const auto& keeper : settings.common().keepers())
        {
            auto* member = options.initial_members.add_members();
            member->set_name(keeper.name());
            member->set_address(keeper.address());
            member->set_voter(true);
        }
    }
    return options;
}

} // namespace

keeper_service::keeper_service(const schema::keeper_settings& settings, stored_state&& stored,
                               const keeper_ports& ports)
    : ports_(ports), self_(settings.common().name()),
      log_(make_log_options(settings), stored, ports_, *this)
{
    for (const auto& keeper : settings.common().keepers())
    {
        if (keeper.name() != self_)
        {
            ports_.transport.learn_address(base::node_name(keeper.name()), keeper.address());
        }
    }
}

void keeper_service::receive(const base::node_name& from, const schema::envelope& message)
{
    if (message.has_keeper_request())
    {
        on_request(from, message.keeper_request());
    }
    else
    {
        log_.receive(from, message);
    }
    update_leadership();
}

void keeper_service::tick()
{
    log_.tick();
    update_leadership();
    if (!log_.can_serve())
    {
        leases_need_renewal_ = true;
        return;
    }
    if (leases_need_renewal_)
    {
        leases_.renew_all(ledger_, ports_.clock.now());
        leases_need_renewal_ = false;
    }
    expire_leases();
    propose_claims();
    push_views();
    log_.flush();
}

void keeper_service::persisted(std::uint64_t ticket)
{
    log_.persisted(ticket);
    update_leadership();
}

void keeper_service::storage_failed(const std::string& reason)
{
    ports_.events.record("storage_failed", {{"reason", reason}});
    log_.storage_failed();
    update_leadership();
}

void keeper_service::begin_drain()
{
    if (draining_)
    {
        return;
    }
    draining_ = true;
    drain_deadline_ = ports_.clock.now() + max_drain_time;
    log_.transfer_leadership();
    update_leadership();
}

bool keeper_service::is_drained() const
{
    return draining_ && (log_.has_live_leader() || ports_.clock.now() >= drain_deadline_);
}

keeper_status keeper_service::status() const
{
    keeper_status status;
    status.role = std::string(log_.role_name());
    status.leader = log_.leader();
    status.term = log_.term();
    status.last_index = log_.last_index();
    status.commit_index = log_.commit_index();
    status.applied_index = log_.applied_index();
    status.config_revision = ledger_.config().revision();
    status.claims = ledger_.claim_count();
    status.entries = ledger_.epochs().live_count();
    status.agents = ledger_.agents().registered_count();
    if (log_.is_leader())
    {
        status.quorum_contact = log_.quorum_contact();
        status.earlier_quorum_contact = log_.earlier_quorum_contact();
    }
    return status;
}

// ---- requests ----

void keeper_service::update_leadership()
{
    const auto term = log_.is_leader() ? log_.term() : 0;
    if (term == leading_term_)
    {
        return;
    }
    leading_term_ = term;
    leases_.clear();
    leases_need_renewal_ = true;
    batcher_.clear();
    pending_replies_.clear();
    view_push_due_ = true;
    // The proposed commands may still be committed; the requesters resend to the next leader and
    // get the same result.
    const auto abandoned = std::exchange(in_progress_, {});
    for (const auto& key : std::vector(abandoned.begin(), abandoned.end()))
    {
        reply_not_leader(key);
    }
}

std::uint64_t keeper_service::propose(schema::command command)
{
    last_proposal_time_ms_ = std::max({last_proposal_time_ms_, ledger_.last_proposed_at_ms(),
                                       absl::ToUnixMillis(ports_.clock.wall_now())});
    command.set_proposed_at_ms(last_proposal_time_ms_);
    const auto index = log_.propose(std::move(command));
    assert(index.has_value());
    return index.value_or(0);
}

void keeper_service::propose_for(const request_key& key, schema::command command)
{
    in_progress_.insert(key);
    pending_replies_[propose(std::move(command))].emplace_back(key, 0);
}

void keeper_service::propose_claims()
{
    while (auto group = batcher_.next_group())
    {
        schema::command command;
        *command.mutable_claims() = std::move(group->batch);
        pending_replies_[propose(std::move(command))] = std::move(group->requests);
    }
}

void keeper_service::expire_leases()
{
    const auto now = ports_.clock.now();
    if (now < next_expiry_scan_at_)
    {
        return;
    }
    next_expiry_scan_at_ = now + expiry_scan_interval;
    for (const auto epoch : leases_.expired_entries(ledger_, now))
    {
        schema::command command;
        command.mutable_expire_entry()->set_epoch(epoch);
        propose(std::move(command));
        ports_.events.record("entry_expired", {{"epoch", absl::StrCat(epoch)}});
    }
    for (const auto& [name, incarnation] : leases_.expired_agents(ledger_, now))
    {
        schema::command command;
        command.mutable_expire_agent()->set_name(name);
        command.mutable_expire_agent()->set_incarnation(incarnation);
        propose(std::move(command));
        ports_.events.record("agent_expired", {{"peer", name}});
    }
}

void keeper_service::push_views()
{
    if (!std::exchange(view_push_due_, false))
    {
        return;
    }
    for (const auto epoch : ledger_.epochs().live())
    {
        const auto& renewal = leases_.last_renewal(epoch);
        const auto& join = ledger_.epochs().find(epoch)->join();
        schema::envelope message;
        *message.mutable_view_push()->mutable_view() =
            ledger_.view_since(renewal.membership_revision(), renewal.config_revision());
        ports_.transport.send(base::node_name(join.name()), std::move(message));
    }
}

void keeper_service::apply(const schema::log_entry& entry)
{
    update_leadership();
    const auto result = ledger_.apply(entry.index(), entry.command());
    if (entry.command().has_join_entry())
    {
        const auto& join = entry.command().join_entry();
        ports_.transport.learn_address(base::node_name(join.name()), join.address());
    }
    if (leading_term_ == 0)
    {
        return;
    }
    view_push_due_ = view_push_due_ || result.view_changed;
    if (entry.command().has_claims())
    {
        batcher_.on_applied(entry.command().claims().owner_epoch());
    }
    if (entry.command().has_register_agent() &&
        ledger_.agents().is_registered(entry.command().register_agent().name(), result.assigned_id))
    {
        leases_.renew_agent(entry.command().register_agent().name(), result.assigned_id,
                            ports_.clock.now());
    }
    send_pending_replies(entry, result);
}

// ---- replies ----

void keeper_service::send_pending_replies(const schema::log_entry& entry,
                                          const apply_result& result)
{
    const auto found = pending_replies_.find(entry.index());
    if (found == pending_replies_.end())
    {
        return;
    }
    const auto requests = std::move(found->second);
    pending_replies_.erase(found);
    if (entry.command().has_claims())
    {
        reply_to_claims(requests, result.claims);
        return;
    }
    for (const auto& [key, count] : requests)
    {
        reply(key, make_reply(entry.command(), result));
    }
}

void keeper_service::reply_to_claims(const std::vector<std::pair<request_key, int>>& requests,
                                     const schema::claim_reply& results)
{
    int at = 0;
    for (const auto& [key, count] : requests)
    {
        schema::keeper_reply out;
        out.mutable_claims();
        for (const int end = at + count; at < end; ++at)
        {
            *out.mutable_claims()->add_results() = results.results(at);
        }
        reply(key, std::move(out));
    }
}

schema::keeper_reply keeper_service::make_reply(const schema::command& command,
                                                const apply_result& result)
{
    schema::keeper_reply out;
    switch (command.body_case())
    {
    case schema::command::kJoinEntry:
        return make_join_reply(result.assigned_id);
    case schema::command::kLeaveEntry:
        out.mutable_leave();
        break;
    case schema::command::kRegisterAgent:
        out.mutable_register_agent()->set_incarnation(result.assigned_id);
        *out.mutable_register_agent()->mutable_view() = ledger_.membership_view();
        break;
    case schema::command::kLeaveAgent:
        out.mutable_leave_agent();
        break;
    case schema::command::kFinishes:
        out.mutable_finishes();
        break;
    case schema::command::kApplyConfig:
        *out.mutable_apply_config() = result.config;
        break;
    case schema::command::kKeepers:
        out.mutable_change_keepers()->set_accepted(true);
        break;
    default:
        break;
    }
    return out;
}

schema::keeper_reply keeper_service::make_join_reply(std::uint64_t epoch)
{
    schema::keeper_reply out;
    auto& join = *out.mutable_join();
    join.set_epoch(epoch);
    *join.mutable_view() = ledger_.view_since(0, 0);
    // An epoch that has ended, or whose expiry follows the join in the log, gets no lease.
    if (ledger_.epochs().status(epoch) == epoch_status::live &&
        leases_.renew_entry(epoch, ports_.clock.now()))
    {
        join.set_lease_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(entry_lease_time)));
    }
    return out;
}

void keeper_service::reply(const request_key& key, schema::keeper_reply reply)
{
    in_progress_.erase(key);
    schema::envelope message;
    reply.set_request_id(key.request_id);
    reply.set_keeper(self_);
    *message.mutable_keeper_reply() = std::move(reply);
    ports_.transport.send(key.from, std::move(message));
}

void keeper_service::reply_not_leader(const request_key& key)
{
    schema::keeper_reply out;
    out.set_not_leader(true);
    if (log_.leader() != self_)
    {
        out.set_leader_hint(log_.leader());
    }
    reply(key, std::move(out));
}

} // namespace savoryreach::keeper
