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
/// A drain does not wait longer than this for another keeper to lead.
constexpr absl::Duration longest_drain = absl::Seconds(2);

log_options options_of(const schema::keeper_settings& settings)
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
      log_(options_of(settings), stored, ports_, *this)
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
    follow_leadership();
}

void keeper_service::tick()
{
    log_.tick();
    follow_leadership();
    if (!log_.can_serve())
    {
        leases_lapsed_ = true;
        return;
    }
    if (leases_lapsed_)
    {
        leases_.extend_all(ledger_, ports_.clock.now());
        leases_lapsed_ = false;
    }
    expire_leases();
    propose_claims();
    push_views();
    log_.flush();
}

void keeper_service::persisted(std::uint64_t ticket)
{
    log_.persisted(ticket);
    follow_leadership();
}

void keeper_service::storage_failed(const std::string& why)
{
    ports_.events.record("storage_failed", {{"reason", why}});
    log_.storage_failed();
    follow_leadership();
}

void keeper_service::begin_drain()
{
    if (draining_)
    {
        return;
    }
    draining_ = true;
    drain_limit_ = ports_.clock.now() + longest_drain;
    log_.transfer_leadership();
    follow_leadership();
}

bool keeper_service::is_drained() const
{
    return draining_ && (log_.hears_leader() || ports_.clock.now() >= drain_limit_);
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
    return status;
}

// ---- requests ----

void keeper_service::follow_leadership()
{
    const auto term = log_.is_leader() ? log_.term() : 0;
    if (term == leading_term_)
    {
        return;
    }
    leading_term_ = term;
    leases_.clear();
    leases_lapsed_ = true;
    batcher_.clear();
    waiters_.clear();
    views_due_ = true;
    // The commands may still commit; the requesters resend to the next leader and get the same
    // outcome.
    const auto abandoned = std::exchange(in_progress_, {});
    for (const auto& key : std::vector(abandoned.begin(), abandoned.end()))
    {
        reply_not_leader(key);
    }
}

std::uint64_t keeper_service::propose(schema::command command)
{
    last_stamp_ms_ = std::max({last_stamp_ms_, ledger_.last_proposed_at_ms(),
                               absl::ToUnixMillis(ports_.clock.wall_now())});
    command.set_proposed_at_ms(last_stamp_ms_);
    const auto index = log_.propose(std::move(command));
    assert(index.has_value());
    return index.value_or(0);
}

void keeper_service::propose_for(const request_key& key, schema::command command)
{
    in_progress_.insert(key);
    waiters_[propose(std::move(command))].emplace_back(key, 0);
}

void keeper_service::propose_claims()
{
    while (auto group = batcher_.take())
    {
        schema::command command;
        *command.mutable_claims() = std::move(group->batch);
        waiters_[propose(std::move(command))] = std::move(group->parts);
    }
}

void keeper_service::expire_leases()
{
    const auto now = ports_.clock.now();
    if (now < next_scan_at_)
    {
        return;
    }
    next_scan_at_ = now + expiry_scan_interval;
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
    if (!std::exchange(views_due_, false))
    {
        return;
    }
    for (const auto epoch : ledger_.epochs().live())
    {
        const auto& reported = leases_.reported(epoch);
        const auto& join = ledger_.epochs().find(epoch)->join();
        schema::envelope message;
        *message.mutable_view_push()->mutable_view() =
            ledger_.view_since(reported.membership_revision(), reported.config_revision());
        ports_.transport.send(base::node_name(join.name()), std::move(message));
    }
}

void keeper_service::apply(const schema::log_entry& entry)
{
    follow_leadership();
    const auto outcome = ledger_.apply(entry.index(), entry.command());
    if (entry.command().has_join_entry())
    {
        const auto& join = entry.command().join_entry();
        ports_.transport.learn_address(base::node_name(join.name()), join.address());
    }
    if (leading_term_ == 0)
    {
        return;
    }
    views_due_ = views_due_ || outcome.view_changed;
    if (entry.command().has_claims())
    {
        batcher_.done(entry.command().claims().owner_epoch());
    }
    if (entry.command().has_register_agent() &&
        ledger_.agents().is_registered(entry.command().register_agent().name(), outcome.number))
    {
        leases_.renew_agent(entry.command().register_agent().name(), outcome.number,
                            ports_.clock.now());
    }
    answer_waiters(entry, outcome);
}

// ---- replies ----

void keeper_service::answer_waiters(const schema::log_entry& entry, const apply_outcome& outcome)
{
    const auto found = waiters_.find(entry.index());
    if (found == waiters_.end())
    {
        return;
    }
    const auto parts = std::move(found->second);
    waiters_.erase(found);
    if (entry.command().has_claims())
    {
        answer_claims(parts, outcome.claims);
        return;
    }
    for (const auto& [key, count] : parts)
    {
        reply(key, reply_to(entry.command(), outcome));
    }
}

void keeper_service::answer_claims(const std::vector<std::pair<request_key, int>>& parts,
                                   const schema::claim_reply& results)
{
    int at = 0;
    for (const auto& [key, count] : parts)
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

schema::keeper_reply keeper_service::reply_to(const schema::command& command,
                                              const apply_outcome& outcome)
{
    schema::keeper_reply out;
    switch (command.body_case())
    {
    case schema::command::kJoinEntry:
        return joined(outcome.number);
    case schema::command::kLeaveEntry:
        out.mutable_leave();
        break;
    case schema::command::kRegisterAgent:
        out.mutable_register_agent()->set_incarnation(outcome.number);
        *out.mutable_register_agent()->mutable_view() = ledger_.membership_view();
        break;
    case schema::command::kLeaveAgent:
        out.mutable_leave_agent();
        break;
    case schema::command::kFinishes:
        out.mutable_finishes();
        break;
    case schema::command::kApplyConfig:
        *out.mutable_apply_config() = outcome.config;
        break;
    case schema::command::kKeepers:
        out.mutable_change_keepers()->set_accepted(true);
        break;
    default:
        break;
    }
    return out;
}

schema::keeper_reply keeper_service::joined(std::uint64_t epoch)
{
    schema::keeper_reply out;
    auto& join = *out.mutable_join();
    join.set_epoch(epoch);
    *join.mutable_view() = ledger_.view_since(0, 0);
    // An epoch that has ended, or whose expiry is in the log behind the join, gets no lease.
    if (ledger_.epochs().standing(epoch) == epoch_standing::live &&
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
