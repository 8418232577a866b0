#include "savoryreach/keeper/replicated_log.hpp"

#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryreach::keeper
{

replicated_log::replicated_log(log_options options, const stored_state& stored,
                               const keeper_ports& ports, state_machine& machine)
    : options_(std::move(options)), ports_(ports), state_machine_(machine),
      log_(ports.storage, stored), members_(options_.initial_members),
      replicator_(options_.self, log_, members_, ports, [this] { return make_snapshot(); })
{
    if (stored.snapshot)
    {
        failed_ = !state_machine_.load(*stored.snapshot);
        snapshot_index_ = stored.snapshot->last_index();
        commit_index_ = applied_index_ = snapshot_index_;
        members_.reset(snapshot_index_, stored.snapshot->keepers());
    }
    for (const auto& entry : stored.entries)
    {
        if (entry.command().has_keepers())
        {
            members_.append(entry.index(), entry.command().keepers());
        }
    }
    // A keeper may have acknowledged a leader just before it restarted; it must not vote for
    // another one while that leader's lease may still be valid.
    last_leader_contact_ = leader_seen_at_ = ports_.clock.now();
    reset_election_deadline();
    register_peer_addresses();
}

bool replicated_log::receive(const base::node_name& from, const schema::envelope& message)
{
    switch (message.body_case())
    {
    case schema::envelope::kVoteRequest:
        on_vote_request(from, message.vote_request());
        return true;
    case schema::envelope::kVoteReply:
        on_vote_reply(message.vote_reply());
        return true;
    case schema::envelope::kHandOver:
        on_hand_over(from, message.hand_over());
        return true;
    case schema::envelope::kAppendRequest:
        on_append(from, message.append_request());
        return true;
    case schema::envelope::kAppendReply:
        on_append_reply(message.append_reply());
        return true;
    case schema::envelope::kSnapshotChunk:
        on_chunk(from, message.snapshot_chunk());
        return true;
    case schema::envelope::kSnapshotReply:
        if (is_leader() && !failed_)
        {
            replicator_.on_snapshot_reply(message.snapshot_reply().follower(),
                                          message.snapshot_reply());
            flush();
        }
        return true;
    default:
        return false;
    }
}

void replicated_log::tick()
{
    if (failed_)
    {
        return;
    }
    const auto now = ports_.clock.now();
    if (role_ != role::leader)
    {
        if (now >= election_deadline_)
        {
            start_pre_vote();
        }
        return;
    }
    const auto contact = std::max(replicator_.quorum_contact(), leading_since_);
    if (contact + quorum_timeout < now)
    {
        become_follower(term());
        return;
    }
    promote_learner();
    replicator_.tick(commit_index_);
    flush();
}

void replicated_log::flush()
{
    if (is_leader() && !failed_)
    {
        replicator_.send_entries(commit_index_);
    }
}

void replicated_log::persisted(std::uint64_t ticket)
{
    if (failed_)
    {
        return;
    }
    log_.persisted(ticket);
    while (!deferred_messages_.empty() &&
           deferred_messages_.front().ticket <= log_.persisted_ticket())
    {
        auto it = std::move(deferred_messages_.front());
        deferred_messages_.pop_front();
        ports_.transport.send(it.to, std::move(it.message));
    }
    if (role_ == role::candidate && log_.is_hard_state_synced())
    {
        count_vote(options_.self);
    }
    if (is_leader())
    {
        advance_commit();
    }
    else
    {
        acknowledge_synced();
    }
}

void replicated_log::storage_failed()
{
    failed_ = true;
    role_ = role::follower;
    leader_.clear();
    deferred_messages_.clear();
    ports_.events.record("keeper_storage_failed", {});
}

void replicated_log::transfer_leadership()
{
    leadership_disabled_ = true;
    const bool was_leader = is_leader();
    std::string successor;
    for (const auto& it : members_.current().members())
    {
        const bool better = successor.empty() || match_index(it.name()) > match_index(successor);
        if (it.voter() && it.name() != options_.self && better)
        {
            successor = it.name();
        }
    }
    if (role_ != role::follower)
    {
        become_follower(term());
        leader_.clear();
    }
    if (was_leader && !successor.empty())
    {
        // The lease ends with the leadership, so this keeper may vote for the successor at once.
        last_leader_contact_ = absl::InfinitePast();
        schema::envelope message;
        message.mutable_hand_over()->set_term(term());
        ports_.transport.send(base::node_name(successor), std::move(message));
        ports_.events.record("hand_over", {{"peer", successor}});
    }
}

void replicated_log::on_hand_over(const base::node_name& from, const schema::hand_over& request)
{
    // Only the leader of the current term may transfer its leadership.
    if (failed_ || leadership_disabled_ || is_leader() || request.term() != term() ||
        leader_ != from.value() || !members_.is_voter(options_.self))
    {
        return;
    }
    last_leader_contact_ = absl::InfinitePast();
    start_election(true);
}

// ---- election ----

void replicated_log::reset_election_deadline()
{
    // An election takes several syncs in a row. Where that is longer than the time-out, candidates
    // would replace each other for ever, so they wait longer after each further election.
    const auto doublings = std::min(lost_elections_ - std::min(lost_elections_, quick_elections),
                                    max_timeout_doublings);
    const auto spread = max_election_timeout - min_election_timeout;
    const auto timeout = min_election_timeout + spread * ports_.random.unit();
    election_deadline_ = ports_.clock.now() + timeout * (1 << doublings);
}

bool replicated_log::has_live_leader() const
{
    return is_leader() ? can_serve()
                       : !failed_ && !leader_.empty() &&
                             last_leader_contact_ + min_election_timeout > ports_.clock.now();
}

bool replicated_log::is_log_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const
{
    return std::pair(last_term, last_index) >= std::pair(log_.last_term(), log_.last_index());
}

bool replicated_log::may_vote(bool handed_over) const
{
    // A learner without a log may be a former voter that lost its data, including its vote.
    const bool blank_learner = log_.last_index() == 0 && !members_.is_voter(options_.self);
    const bool leads =
        is_leader() && replicator_.quorum_contact() + leader_lease > ports_.clock.now();
    const bool follows_live_leader =
        !is_leader() && !handed_over &&
        last_leader_contact_ + min_election_timeout > ports_.clock.now();
    return !failed_ && !blank_learner && !leads && !follows_live_leader;
}

void replicated_log::on_vote_request(const base::node_name& from,
                                     const schema::vote_request& request)
{
    if (!may_vote(request.handed_over()))
    {
        return;
    }
    schema::envelope message;
    auto& reply = *message.mutable_vote_reply();
    reply.set_voter(options_.self);
    reply.set_pre_vote(request.pre_vote());
    const bool current = is_log_up_to_date(request.last_index(), request.last_term());
    if (request.pre_vote())
    {
        const bool granted = request.term() > term() && current;
        reply.set_granted(granted);
        reply.set_term(granted ? request.term() : term());
        ports_.transport.send(from, std::move(message));
        return;
    }
    if (request.term() > term())
    {
        become_follower(request.term(), current ? request.candidate() : "");
    }
    const auto& voted_for = log_.hard_state().voted_for();
    const bool granted = request.term() == term() && current &&
                         (voted_for.empty() || voted_for == request.candidate());
    if (granted && voted_for.empty())
    {
        log_.save_hard_state(term(), request.candidate());
        reset_election_deadline();
    }
    reply.set_granted(granted);
    reply.set_term(term());
    reply.set_leader_seen_ms_ago(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        absl::ToInt64Milliseconds(ports_.clock.now() - leader_seen_at_), 0, UINT32_MAX)));
    deferred_messages_.push_back({log_.last_ticket(), from, std::move(message)});
    persisted(log_.persisted_ticket());
}

void replicated_log::start_pre_vote()
{
    reset_election_deadline();
    if (leadership_disabled_ || !members_.is_voter(options_.self))
    {
        return;
    }
    role_ = role::pre_candidate;
    leader_.clear();
    votes_.clear();
    request_votes(true);
    count_vote(options_.self);
}

void replicated_log::start_election(bool handed_over)
{
    ++lost_elections_;
    become_follower(term() + 1, options_.self);
    role_ = role::candidate;
    earlier_leader_seen_at_ = leader_seen_at_;
    votes_.clear();
    request_votes(false, handed_over);
}

void replicated_log::request_votes(bool pre_vote, bool handed_over)
{
    for (const auto& member : members_.current().members())
    {
        if (!member.voter() || member.name() == options_.self)
        {
            continue;
        }
        schema::envelope message;
        auto& request = *message.mutable_vote_request();
        request.set_term(pre_vote ? term() + 1 : term());
        request.set_candidate(options_.self);
        request.set_last_index(log_.last_index());
        request.set_last_term(log_.last_term());
        request.set_pre_vote(pre_vote);
        request.set_handed_over(handed_over);
        // Sent before the candidate's own vote is stored, so that its sync and those of the voters
        // take place at the same time. It does not lead before that: after a restart it may stand
        // again in the same term.
        ports_.transport.send(base::node_name(member.name()), std::move(message));
    }
}

void replicated_log::on_vote_reply(const schema::vote_reply& reply)
{
    if (failed_)
    {
        return;
    }
    if (!reply.granted())
    {
        if (reply.term() > term())
        {
            become_follower(reply.term());
        }
        return;
    }
    const auto expected_role = reply.pre_vote() ? role::pre_candidate : role::candidate;
    const auto expected_term = reply.pre_vote() ? term() + 1 : term();
    if (role_ == expected_role && reply.term() == expected_term)
    {
        if (!reply.pre_vote())
        {
            // An earlier version does not say when.
            earlier_leader_seen_at_ =
                std::max(earlier_leader_seen_at_,
                         ports_.clock.now() - absl::Milliseconds(reply.leader_seen_ms_ago()));
        }
        count_vote(reply.voter());
    }
}

void replicated_log::count_vote(const std::string& voter)
{
    if (members_.is_voter(voter))
    {
        votes_.insert(voter);
    }
    if (votes_.size() < members_.quorum() || !votes_.contains(options_.self))
    {
        return;
    }
    if (role_ == role::pre_candidate)
    {
        start_election();
    }
    else if (role_ == role::candidate)
    {
        become_leader();
    }
}

void replicated_log::become_leader()
{
    role_ = role::leader;
    lost_elections_ = 0;
    leader_ = options_.self;
    leading_since_ = ports_.clock.now();
    replicator_.start(term());
    // Entries of earlier terms are committed only together with an entry of the leader's term.
    schema::command first;
    first.mutable_no_op();
    term_start_index_ = *propose(std::move(first));
    ports_.events.record("leader_elected", {{"term", absl::StrCat(term())}});
    replicator_.send_round(commit_index_);
}

void replicated_log::become_follower(std::uint64_t term, const std::string& voted_for)
{
    assert(term >= this->term());
    if (is_leader())
    {
        leader_seen_at_ = ports_.clock.now();
    }
    role_ = role::follower;
    if (term > this->term())
    {
        deferred_messages_.clear();
        log_.save_hard_state(term, voted_for);
        leader_.clear();
        verified_index_ = 0;
        last_round_ = 0;
        acknowledged_index_ = 0;
        receiver_.clear();
    }
    else if (leader_ == options_.self)
    {
        leader_.clear();
    }
    reset_election_deadline();
}

void replicated_log::record_leader_contact(const std::string& leader, std::uint64_t term)
{
    if (term > this->term() || role_ != role::follower)
    {
        assert(!is_leader() || term > this->term());
        become_follower(term);
    }
    leader_ = leader;
    last_leader_contact_ = leader_seen_at_ = ports_.clock.now();
    lost_elections_ = 0;
    reset_election_deadline();
}

// ---- replication on a follower ----

void replicated_log::on_append(const base::node_name& from, const schema::append_request& request)
{
    if (failed_)
    {
        return;
    }
    if (request.term() < term())
    {
        acknowledge(from, false, 0);
        return;
    }
    record_leader_contact(request.leader(), request.term());
    leader_node_ = from;
    last_round_ = std::max(last_round_, request.round());
    std::uint64_t hint = 0;
    if (!matches_previous_entry(request, hint))
    {
        acknowledge(from, false, hint);
        return;
    }
    store_entries(request);
    commit_to(std::min(request.commit_index(), verified_index_));
    if (request.entries().empty() || log_.synced_index() >= verified_index_)
    {
        acknowledge(from, true, std::min(verified_index_, log_.synced_index()));
    }
}

bool replicated_log::matches_previous_entry(const schema::append_request& request,
                                            std::uint64_t& hint) const
{
    const auto previous = request.previous_index();
    if (previous < log_.first_index() - 1)
    {
        return true; // covered by a snapshot, so committed and equal to the leader's
    }
    if (previous > log_.last_index())
    {
        hint = log_.last_index();
        return false;
    }
    const auto local_term = *log_.term_at(previous);
    if (local_term == request.previous_term())
    {
        return true;
    }
    // Skips all entries of the conflicting term; committed entries never conflict.
    hint = previous - 1;
    while (hint > commit_index_ && log_.term_at(hint) == local_term)
    {
        --hint;
    }
    return false;
}

void replicated_log::store_entries(const schema::append_request& request)
{
    const auto end = request.previous_index() + static_cast<std::uint64_t>(request.entries_size());
    std::vector<schema::log_entry> new_entries;
    for (const auto& entry : request.entries())
    {
        if (!new_entries.empty())
        {
            new_entries.push_back(entry);
            continue;
        }
        if (entry.index() < log_.first_index() || log_.term_at(entry.index()) == entry.term())
        {
            continue;
        }
        if (entry.index() <= log_.last_index())
        {
            assert(entry.index() > commit_index_);
            log_.truncate_from(entry.index());
            members_.truncate_from(entry.index());
        }
        new_entries.push_back(entry);
    }
    if (!new_entries.empty())
    {
        append_local(std::move(new_entries));
    }
    verified_index_ = std::max(verified_index_, end);
}

void replicated_log::acknowledge(const base::node_name& to, bool success, std::uint64_t match)
{
    schema::envelope message;
    auto& reply = *message.mutable_append_reply();
    reply.set_term(term());
    reply.set_follower(options_.self);
    reply.set_success(success);
    reply.set_match_index(match);
    acknowledged_index_ = success ? std::max(acknowledged_index_, match) : acknowledged_index_;
    reply.set_round(last_round_);
    if (log_.is_hard_state_synced())
    {
        ports_.transport.send(to, std::move(message));
    }
    else
    {
        deferred_messages_.push_back({log_.last_ticket(), to, std::move(message)});
    }
}

void replicated_log::acknowledge_synced()
{
    const auto durable = std::min(verified_index_, log_.synced_index());
    if (durable > acknowledged_index_ && log_.is_hard_state_synced())
    {
        acknowledge(leader_node_, true, durable);
    }
}

} // namespace savoryreach::keeper
