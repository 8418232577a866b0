// Proposals, commit, snapshots and membership changes of replicated_log.

#include "savoryreach/keeper/keeper_times.hpp"
#include "savoryreach/keeper/replicated_log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace savoryreach::keeper
{

bool replicated_log::can_serve() const
{
    return is_leader() && !failed_ && commit_index_ >= term_start_index_ &&
           replicator_.quorum_contact() + leader_lease > ports_.clock.now();
}

std::string_view replicated_log::role_name() const
{
    if (failed_)
    {
        return "failed";
    }
    switch (role_)
    {
    case role::leader:
        return "leader";
    case role::pre_candidate:
    case role::candidate:
        return "candidate";
    case role::follower:
        break;
    }
    return members_.is_voter(options_.self) ? "follower" : "learner";
}

std::uint64_t replicated_log::match_index(const std::string& name) const
{
    return replicator_.match_index(name);
}

absl::Time replicated_log::last_contact(const std::string& name) const
{
    return replicator_.last_contact(name);
}

std::optional<std::uint64_t> replicated_log::propose(schema::command command)
{
    if (!is_leader() || failed_)
    {
        return std::nullopt;
    }
    command.set_schema_version(1);
    schema::log_entry entry;
    entry.set_index(log_.last_index() + 1);
    entry.set_term(term());
    *entry.mutable_command() = std::move(command);
    std::vector<schema::log_entry> entries;
    entries.push_back(std::move(entry));
    append_local(std::move(entries));
    return log_.last_index();
}

void replicated_log::append_local(std::vector<schema::log_entry> entries)
{
    bool members_changed = false;
    for (const auto& entry : entries)
    {
        if (entry.command().has_keepers())
        {
            members_.append(entry.index(), entry.command().keepers());
            members_changed = true;
        }
    }
    log_.append(std::move(entries));
    if (members_changed)
    {
        register_peer_addresses();
    }
}

void replicated_log::register_peer_addresses()
{
    for (const auto& member : members_.current().members())
    {
        if (member.name() != options_.self && !member.address().empty())
        {
            ports_.transport.learn_address(base::node_name(member.name()), member.address());
        }
    }
}

void replicated_log::on_append_reply(const schema::append_reply& reply)
{
    if (failed_)
    {
        return;
    }
    if (reply.term() > term())
    {
        become_follower(reply.term());
        return;
    }
    if (is_leader())
    {
        replicator_.on_append_reply(reply.follower(), reply);
        advance_commit();
        flush();
    }
}

void replicated_log::advance_commit()
{
    const auto index = std::min(replicator_.quorum_index(), log_.last_index());
    if (index > commit_index_ && log_.term_at(index) == term())
    {
        commit_to(index);
    }
    if (is_leader() && commit_index_ >= members_.current_index() &&
        !members_.is_voter(options_.self))
    {
        // This keeper was removed; the remaining voters elect a leader among themselves.
        replicator_.send_round(commit_index_);
        become_follower(term());
    }
}

void replicated_log::commit_to(std::uint64_t index)
{
    commit_index_ = std::max(commit_index_, index);
    while (applied_index_ < commit_index_)
    {
        state_machine_.apply(log_.at(++applied_index_));
    }
    take_snapshot_if_due();
}

void replicated_log::take_snapshot_if_due()
{
    if (applied_index_ < snapshot_index_ + options_.snapshot_every)
    {
        return;
    }
    snapshot_index_ = applied_index_;
    // The latest entries stay in memory, so that a slightly lagging keeper receives entries instead
    // of a snapshot.
    constexpr std::uint64_t retained_divisor = 4;
    log_.compact(make_snapshot(), options_.snapshot_every / retained_divisor);
    members_.compact(log_.first_index() - 1);
}

schema::ledger_snapshot replicated_log::make_snapshot() const
{
    schema::ledger_snapshot snapshot;
    state_machine_.save(snapshot);
    snapshot.set_last_index(applied_index_);
    snapshot.set_last_term(*log_.term_at(applied_index_));
    *snapshot.mutable_keepers() = members_.at(applied_index_);
    return snapshot;
}

void replicated_log::on_chunk(const base::node_name& from, const schema::snapshot_chunk& chunk)
{
    if (failed_ || chunk.term() < term())
    {
        return;
    }
    record_leader_contact(chunk.leader(), chunk.term());
    leader_node_ = from;
    if (chunk.last_index() <= commit_index_)
    {
        reply_installed(from, chunk.last_index());
        return;
    }
    const auto snapshot = receiver_.add(chunk);
    if (snapshot)
    {
        install_snapshot(from, *snapshot);
        return;
    }
    schema::envelope message;
    auto& reply = *message.mutable_snapshot_reply();
    reply.set_term(term());
    reply.set_follower(options_.self);
    reply.set_last_index(chunk.last_index());
    reply.set_next_offset(receiver_.next_offset());
    ports_.transport.send(from, std::move(message));
}

void replicated_log::install_snapshot(const base::node_name& from,
                                      const schema::ledger_snapshot& snapshot)
{
    if (!state_machine_.load(snapshot))
    {
        // The state is only partly replaced, so this keeper can't continue.
        storage_failed();
        return;
    }
    const auto index = snapshot.last_index();
    if (log_.term_at(index) != snapshot.last_term())
    {
        members_.truncate_from(index);
    }
    log_.install_snapshot(snapshot);
    members_.reset(index, snapshot.keepers());
    register_peer_addresses();
    commit_index_ = applied_index_ = snapshot_index_ = index;
    verified_index_ = std::max(verified_index_, index);
    ports_.events.record("snapshot_installed", {{"last_index", absl::StrCat(index)}});
    reply_installed(from, index);
}

void replicated_log::reply_installed(const base::node_name& to, std::uint64_t last_index)
{
    schema::envelope message;
    auto& reply = *message.mutable_snapshot_reply();
    reply.set_term(term());
    reply.set_follower(options_.self);
    reply.set_last_index(last_index);
    reply.set_installed(true);
    deferred_messages_.push_back({log_.last_ticket(), to, std::move(message)});
    persisted(log_.persisted_ticket());
}

// ---- membership ----

bool replicated_log::is_change_pending() const
{
    return members_.current_index() > commit_index_;
}

std::uint64_t replicated_log::propose_members(const schema::keeper_set& set)
{
    schema::command command;
    *command.mutable_keepers() = set;
    const auto index = *propose(std::move(command));
    replicator_.update_peers();
    replicator_.send_round(commit_index_);
    return index;
}

void replicated_log::promote_learner()
{
    if (!can_serve() || is_change_pending())
    {
        return;
    }
    for (const auto& member : members_.current().members())
    {
        if (!member.voter() && replicator_.is_caught_up(member.name(), commit_index_))
        {
            auto set = members_.current();
            for (auto& it : *set.mutable_members())
            {
                it.set_voter(it.voter() || it.name() == member.name());
            }
            ports_.events.record("learner_promoted", {{"peer", member.name()}});
            propose_members(set);
            return;
        }
    }
}

std::optional<std::uint64_t> replicated_log::change_members(const schema::change_keepers& change,
                                                            std::string& reason)
{
    if (!can_serve() || is_change_pending())
    {
        reason = "another change of the keeper set is in progress";
        return std::nullopt;
    }
    const auto* known = members_.find(change.name());
    if (change.remove() ? known == nullptr
                        : known != nullptr && known->address() == change.address())
    {
        return commit_index_;
    }
    auto set = members_.current();
    if (!change.remove())
    {
        if (known != nullptr || change.name().empty() || change.address().empty())
        {
            reason = "a keeper needs a new name and an address; remove one that has moved first";
            return std::nullopt;
        }
        if (members_.voter_count() != static_cast<std::size_t>(set.members_size()))
        {
            reason = "a learner has not caught up yet";
            return std::nullopt;
        }
        auto* member = set.add_members();
        member->set_name(change.name());
        member->set_address(change.address());
        return propose_members(set);
    }
    if (known->voter() && members_.voter_count() == 1)
    {
        reason = "the last voter can't be removed";
        return std::nullopt;
    }
    auto& members = *set.mutable_members();
    const auto it = std::ranges::find(members, change.name(), &schema::keeper_member::name);
    members.erase(it);
    return propose_members(set);
}

} // namespace savoryreach::keeper
