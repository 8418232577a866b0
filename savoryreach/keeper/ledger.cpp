#include "savoryreach/keeper/ledger.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <algorithm>

namespace savoryreach::keeper
{
namespace
{

constexpr std::int64_t minute_ms = 60'000;

} // namespace

apply_result ledger::apply(std::uint64_t index, const schema::command& command)
{
    advance_time(command.proposed_at_ms());
    apply_result result;
    bool members_changed = false;
    bool config_changed = false;
    const auto now = last_proposed_at_ms_;
    switch (command.body_case())
    {
    case schema::command::kJoinEntry:
        result.assigned_id = epochs_.join(command.join_entry(), index, now, members_changed);
        break;
    case schema::command::kExpireEntry:
        members_changed = epochs_.end_epoch(command.expire_entry().epoch(), false, now);
        break;
    case schema::command::kLeaveEntry:
        members_changed = epochs_.end_epoch(command.leave_entry().epoch(), true, now);
        break;
    case schema::command::kRegisterAgent:
        result.assigned_id = agents_.register_agent(command.register_agent(), index, now);
        break;
    case schema::command::kExpireAgent:
        agents_.end_incarnation(command.expire_agent().name(), command.expire_agent().incarnation(),
                                now);
        break;
    case schema::command::kLeaveAgent:
        agents_.end_incarnation(command.leave_agent().name(), command.leave_agent().incarnation(),
                                now);
        break;
    case schema::command::kClaims:
        apply_claims(command.claims(), result.claims);
        break;
    case schema::command::kFinishes:
        apply_finishes(command.finishes());
        break;
    case schema::command::kApplyConfig:
        result.config = config_.apply(command.apply_config().declaration(), config_changed);
        break;
    // Commands of a dispatcher's core, which has a state machine of its own.
    case schema::command::kFleetConfig:
    case schema::command::kHostChange:
    case schema::command::kEvacuationChange:
    case schema::command::kCancelJob:
    case schema::command::kNoOp:
    case schema::command::kKeepers:
    case schema::command::BODY_NOT_SET:
        break;
    }
    if (members_changed)
    {
        membership_revision_ = index;
    }
    result.view_changed = members_changed || config_changed;
    return result;
}

void ledger::advance_time(std::int64_t proposed_at_ms)
{
    const auto before = last_proposed_at_ms_;
    last_proposed_at_ms_ = std::max(before, proposed_at_ms);
    if (last_proposed_at_ms_ / minute_ms == before / minute_ms)
    {
        return;
    }
    claims_.remove_expired(static_cast<std::uint32_t>(last_proposed_at_ms_ / minute_ms));
    epochs_.prune(last_proposed_at_ms_, config_.retention_ms());
    agents_.prune(last_proposed_at_ms_, config_.retention_ms(), epochs_);
}

std::uint32_t ledger::claim_expiry_minute() const
{
    return static_cast<std::uint32_t>((last_proposed_at_ms_ + config_.retention_ms()) / minute_ms +
                                      1);
}

void ledger::apply_claims(const schema::claim_batch& batch, schema::claim_reply& reply)
{
    const bool live = epochs_.status(batch.owner_epoch()) == epoch_status::live;
    const auto expiry = claim_expiry_minute();
    for (const auto& claim : batch.claims())
    {
        if (!live)
        {
            reply.add_results()->set_outcome(schema::claim_fenced);
            continue;
        }
        *reply.add_results() =
            claims_.claim(claim, batch.owner_epoch(), epochs_, expiry, config_.max_claims());
    }
}

void ledger::apply_finishes(const schema::finish_batch& batch)
{
    const auto expiry = claim_expiry_minute();
    for (const auto& id : batch.submission_ids())
    {
        claims_.finish(id, batch.owner_epoch(), epochs_, expiry);
    }
}

schema::cluster_view ledger::view_since(std::uint64_t membership_revision,
                                        std::uint64_t config_revision) const
{
    schema::cluster_view view;
    if (membership_revision != membership_revision_)
    {
        view = membership_view();
    }
    config_.fill_view(view, config_revision);
    return view;
}

schema::cluster_view ledger::membership_view() const
{
    schema::cluster_view view;
    view.set_membership_revision(membership_revision_);
    epochs_.fill_view(view, last_proposed_at_ms_);
    return view;
}

schema::fence_info_reply ledger::fence_info(std::uint64_t epoch) const
{
    schema::fence_info_reply reply;
    const auto* record = epochs_.find(epoch);
    if (record == nullptr || record->fenced_at_ms() == 0)
    {
        return reply;
    }
    reply.set_fenced(true);
    const auto fenced_at = record->fenced_at_ms();
    for (auto& [name, incarnation] :
         agents_.registered_between(fenced_at - max_time_budget_ms, fenced_at))
    {
        auto* agent = reply.add_agents();
        agent->set_name(name);
        agent->set_incarnation(incarnation);
    }
    return reply;
}

void ledger::save(schema::ledger_snapshot& snapshot) const
{
    snapshot.set_schema_version(1);
    snapshot.set_last_proposed_at_ms(last_proposed_at_ms_);
    snapshot.mutable_view()->set_membership_revision(membership_revision_);
    config_.save(snapshot);
    epochs_.save(snapshot);
    agents_.save(snapshot);
    claims_.save(snapshot);
}

bool ledger::load(const schema::ledger_snapshot& snapshot)
{
    last_proposed_at_ms_ = snapshot.last_proposed_at_ms();
    membership_revision_ = snapshot.view().membership_revision();
    config_.load(snapshot);
    epochs_.load(snapshot);
    agents_.load(snapshot);
    return snapshot.schema_version() == 1 && claims_.load(snapshot, epochs_);
}

std::uint64_t ledger::hash() const
{
    std::uint64_t hash = base::stable_hash("ledger", membership_revision_);
    for (const auto part : {epochs_.hash(), agents_.hash(), claims_.hash(), config_.hash(),
                            static_cast<std::uint64_t>(last_proposed_at_ms_)})
    {
        hash = hash * 0x9e3779b97f4a7c15U + part;
    }
    return hash;
}

} // namespace savoryreach::keeper
