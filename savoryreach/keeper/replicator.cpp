#include "savoryreach/keeper/replicator.hpp"

#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::keeper
{
namespace
{

/// Limits of one append message, so that it does not delay the heartbeat rounds queued after it.
constexpr std::uint64_t max_entries_per_append = 256;
constexpr std::size_t max_bytes_per_append = std::size_t{512} * 1024;
/// Limit of unacknowledged entries sent to one keeper.
constexpr std::uint64_t max_entries_in_flight = 1024;
constexpr std::size_t chunk_bytes = std::size_t{128} * 1024;
/// Rounds whose sending times are stored; acknowledgements of older rounds are outside any lease.
constexpr std::size_t max_tracked_rounds = 64;

} // namespace

replicator::replicator(std::string self, const durable_log& log, const keeper_members& members,
                       const keeper_ports& ports, snapshot_maker make_snapshot)
    : self_(std::move(self)), log_(log), members_(members), ports_(ports),
      make_snapshot_(std::move(make_snapshot))
{
}

void replicator::start(std::uint64_t term)
{
    term_ = term;
    peers_.clear();
    rounds_.clear();
    next_round_at_ = ports_.clock.now();
    update_peers();
}

void replicator::update_peers()
{
    absl::erase_if(peers_, [this](const auto& it) { return members_.find(it.first) == nullptr; });
    for (const auto& member : members_.current().members())
    {
        if (member.name() == self_ || peers_.contains(member.name()))
        {
            continue;
        }
        auto& it = peers_[member.name()];
        it.next_index = log_.last_index() + 1;
        it.acked_round_sent_at = absl::InfinitePast();
        it.resend_at = ports_.clock.now();
    }
}

void replicator::tick(std::uint64_t commit_index)
{
    const auto now = ports_.clock.now();
    if (now >= next_round_at_)
    {
        send_round(commit_index);
    }
    for (auto& [name, it] : peers_)
    {
        if (it.snapshot && is_unresponsive(it))
        {
            it.snapshot.reset();
            it.next_index = it.match_index + 1;
        }
        else if (it.snapshot && now >= it.snapshot->resend_at)
        {
            send_chunk(name, it);
        }
        else if (!it.snapshot && !it.probing && now >= it.resend_at &&
                 it.next_index > it.match_index + 1)
        {
            it.next_index = it.match_index + 1;
            send_entries_to(name, it, commit_index);
        }
    }
}

void replicator::send_round(std::uint64_t commit_index)
{
    const auto now = ports_.clock.now();
    next_round_at_ = now + heartbeat_interval;
    rounds_.emplace_back(++round_, now);
    if (rounds_.size() > max_tracked_rounds)
    {
        rounds_.pop_front();
    }
    for (auto& [name, it] : peers_)
    {
        send_round_to(name, it, commit_index);
    }
}

void replicator::send_round_to(const std::string& name, peer& target, std::uint64_t commit_index)
{
    // During a snapshot transfer, previous index 0 always matches, so the round is acknowledged.
    if (target.snapshot)
    {
        send_append(name, target, 0, 0, false);
        return;
    }
    const auto previous = target.probing ? target.next_index - 1 : target.match_index;
    if (previous + 1 < log_.first_index())
    {
        send_append(name, target, 0, 0, false);
        begin_snapshot(name, target);
        return;
    }
    send_append(name, target, previous, commit_index, false);
}

void replicator::send_entries(std::uint64_t commit_index)
{
    for (auto& [name, it] : peers_)
    {
        send_entries_to(name, it, commit_index);
    }
}

void replicator::send_entries_to(const std::string& name, peer& target, std::uint64_t commit_index)
{
    if (target.probing || target.snapshot)
    {
        return;
    }
    while (target.next_index <= log_.last_index() &&
           target.next_index <= target.match_index + max_entries_in_flight)
    {
        if (target.next_index < log_.first_index())
        {
            begin_snapshot(name, target);
            return;
        }
        if (target.next_index == target.match_index + 1)
        {
            target.resend_at = ports_.clock.now() + resend_interval;
        }
        send_append(name, target, target.next_index - 1, commit_index, true);
    }
}

void replicator::send_append(const std::string& name, peer& target, std::uint64_t previous,
                             std::uint64_t commit_index, bool with_entries)
{
    schema::envelope message;
    auto& append = *message.mutable_append_request();
    append.set_term(term_);
    append.set_leader(self_);
    append.set_previous_index(previous);
    append.set_previous_term(previous == 0 ? 0 : log_.term_at(previous).value_or(0));
    append.set_commit_index(commit_index);
    append.set_round(round_);
    std::size_t bytes = 0;
    while (with_entries && target.next_index <= log_.last_index() &&
           target.next_index <= previous + max_entries_per_append && bytes < max_bytes_per_append)
    {
        const auto& entry = log_.at(target.next_index++);
        bytes += entry.ByteSizeLong();
        *append.add_entries() = entry;
    }
    ports_.transport.send(base::node_name(name), std::move(message));
}

absl::Time replicator::round_sent_at(std::uint64_t round) const
{
    const auto it = std::ranges::find(rounds_, round, &std::pair<std::uint64_t, absl::Time>::first);
    return it == rounds_.end() ? absl::InfinitePast() : it->second;
}

void replicator::on_append_reply(const std::string& from, const schema::append_reply& reply)
{
    const auto found = peers_.find(from);
    if (found == peers_.end() || reply.term() != term_)
    {
        return;
    }
    auto& it = found->second;
    it.acked_round_sent_at = std::max(it.acked_round_sent_at, round_sent_at(reply.round()));
    if (it.snapshot)
    {
        return;
    }
    if (!reply.success())
    {
        // Continues at the index that the keeper suggests, but not before its acknowledged entries.
        // One probe is in flight until it succeeds: answering every rejection with entries would
        // multiply the messages while several are in flight.
        const auto next = std::max(reply.match_index(), it.match_index) + 1;
        if (!it.probing || next < it.next_index)
        {
            it.next_index = std::min(next, it.next_index);
            it.probing = true;
            send_round_to(from, it, 0);
        }
        return;
    }
    if (reply.match_index() > it.match_index)
    {
        it.match_index = reply.match_index();
        it.resend_at = ports_.clock.now() + resend_interval;
    }
    it.probing = false;
    it.next_index = std::max(it.next_index, it.match_index + 1);
}

void replicator::begin_snapshot(const std::string& name, peer& target)
{
    // A snapshot for an unresponsive keeper would occupy memory and be outdated when the keeper
    // returns. The transfer starts once the keeper has acknowledged a round.
    if (is_unresponsive(target))
    {
        return;
    }
    const auto snapshot = make_snapshot_();
    target.snapshot = std::make_unique<snapshot_transfer>();
    target.snapshot->last_index = snapshot.last_index();
    target.snapshot->last_term = snapshot.last_term();
    target.snapshot->bytes = std::make_shared<const std::string>(snapshot.SerializeAsString());
    ports_.events.record("snapshot_begun",
                         {{"peer", name}, {"last_index", absl::StrCat(snapshot.last_index())}});
    send_chunk(name, target);
}

void replicator::send_chunk(const std::string& name, peer& target)
{
    auto& snapshot = *target.snapshot;
    snapshot.resend_at = ports_.clock.now() + resend_interval;
    schema::envelope message;
    auto& chunk = *message.mutable_snapshot_chunk();
    chunk.set_term(term_);
    chunk.set_leader(self_);
    chunk.set_last_index(snapshot.last_index);
    chunk.set_last_term(snapshot.last_term);
    chunk.set_offset(snapshot.offset);
    chunk.set_data(snapshot.bytes->substr(snapshot.offset, chunk_bytes));
    chunk.set_done(snapshot.offset + chunk.data().size() == snapshot.bytes->size());
    ports_.transport.send(base::node_name(name), std::move(message));
}

void replicator::on_snapshot_reply(const std::string& from, const schema::snapshot_reply& reply)
{
    const auto found = peers_.find(from);
    if (found == peers_.end() || reply.term() != term_ || !found->second.snapshot)
    {
        return;
    }
    auto& it = found->second;
    if (reply.last_index() != it.snapshot->last_index)
    {
        return;
    }
    if (reply.installed())
    {
        it.match_index = std::max(it.match_index, reply.last_index());
        it.next_index = it.match_index + 1;
        it.probing = false;
        it.snapshot.reset();
        ports_.events.record("snapshot_sent", {{"peer", from}});
        return;
    }
    // A lower offset comes from a restarted keeper, which requests offset 0, or from a delayed
    // reply, which is ignored.
    const auto size = it.snapshot->bytes->size();
    const bool usable = reply.next_offset() > it.snapshot->offset || reply.next_offset() == 0;
    if (usable && reply.next_offset() <= size && reply.next_offset() != it.snapshot->offset)
    {
        it.snapshot->offset = reply.next_offset();
        if (it.snapshot->offset < size)
        {
            send_chunk(from, it);
        }
    }
}

std::uint64_t replicator::quorum_index() const
{
    return members_.quorum_value<std::uint64_t>([this](const std::string& name)
                                                { return match_index(name); });
}

absl::Time replicator::quorum_contact() const
{
    return members_.quorum_value<absl::Time>([this](const std::string& name)
                                             { return last_contact(name); });
}

absl::Time replicator::last_contact(const std::string& name) const
{
    if (name == self_)
    {
        return ports_.clock.now();
    }
    const auto it = peers_.find(name);
    return it == peers_.end() ? absl::InfinitePast() : it->second.acked_round_sent_at;
}

std::uint64_t replicator::match_index(const std::string& name) const
{
    if (name == self_)
    {
        return log_.synced_index();
    }
    const auto it = peers_.find(name);
    return it == peers_.end() ? 0 : it->second.match_index;
}

bool replicator::is_unresponsive(const peer& target) const
{
    return target.acked_round_sent_at + quorum_timeout < ports_.clock.now();
}

bool replicator::is_caught_up(const std::string& name, std::uint64_t index) const
{
    const auto it = peers_.find(name);
    return it != peers_.end() && !it->second.snapshot && !it->second.probing &&
           it->second.acked_round_sent_at + leader_lease > ports_.clock.now() &&
           it->second.match_index >= index;
}

} // namespace savoryreach::keeper
