#ifndef SAVORYREACH_KEEPER_REPLICATED_LOG_HPP
#define SAVORYREACH_KEEPER_REPLICATED_LOG_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/keeper/durable_log.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "savoryreach/keeper/keeper_members.hpp"
#include "savoryreach/keeper/replicator.hpp"
#include "savoryreach/keeper/snapshot_receiver.hpp"
#include "savoryreach/keeper/state_machine.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::keeper
{

/// Start options of a replicated log.
struct log_options
{
    std::string self;
    schema::keeper_set
        initial_members; ///< used while the log holds no keeper set; empty for a learner
    std::uint64_t snapshot_every = 0; ///< applied entries between snapshots
};

/// A log replicated by consensus as in Raft, with pre-vote, check-quorum, leader leases and
/// non-voting learners. A vote or an acknowledgement is sent or counted only when the write that it
/// depends on is durable.
class replicated_log
{
public:
    /// \p machine must be empty; it is initialised from the stored snapshot.
    replicated_log(log_options options, const stored_state& stored, const keeper_ports& ports,
                   state_machine& machine);

    /// Handles a message from another keeper; false when it is not a message of the log.
    bool receive(const base::node_name& from, const schema::envelope& message);
    void tick();
    void persisted(std::uint64_t ticket);
    /// Permanently stops voting, leading and acknowledging; a member returns with a new object over
    /// what its storage holds when it is open again.
    void storage_failed();

    /// Appends \p command and returns its index; nullopt when this keeper is not the leader. The
    /// entry is sent by the next flush() or tick().
    std::optional<std::uint64_t> propose(schema::command command);
    /// Sends appended entries to the other keepers.
    void flush();
    /// Proposes to add or remove one keeper. Returns the index of the proposed entry, or nullopt
    /// and sets \p reason. An index that is already committed means that the set needs no change.
    std::optional<std::uint64_t> change_members(const schema::change_keepers& change,
                                                std::string& reason);
    /// Permanently stops leading and starting elections; still votes and acknowledges. A leader
    /// asks the follower with the greatest match index to start an election at once, so that no
    /// election timeout passes.
    void transfer_leadership();

    [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
    /// True for a leader whose lease is valid and that has applied every entry committed before its
    /// term.
    [[nodiscard]] bool can_serve() const;
    /// True when this keeper can serve, or when it has received a message from a leader within the
    /// minimum election timeout.
    [[nodiscard]] bool has_live_leader() const;
    [[nodiscard]] bool is_failed() const { return failed_; }
    [[nodiscard]] const std::string& leader() const { return leader_; }
    [[nodiscard]] std::string_view role_name() const;
    [[nodiscard]] std::uint64_t term() const { return log_.hard_state().term(); }
    [[nodiscard]] std::uint64_t last_index() const { return log_.last_index(); }
    [[nodiscard]] std::uint64_t commit_index() const { return commit_index_; }
    [[nodiscard]] std::uint64_t applied_index() const { return applied_index_; }
    [[nodiscard]] const keeper_members& members() const { return members_; }
    [[nodiscard]] std::uint64_t match_index(const std::string& name) const;
    /// For a leader: the sending time of the latest heartbeat round that a quorum acknowledged.
    [[nodiscard]] absl::Time quorum_contact() const { return replicator_.quorum_contact(); }
    /// For a leader: no quorum has acknowledged a round of an earlier leader that was sent after
    /// this time.
    [[nodiscard]] absl::Time earlier_quorum_contact() const { return earlier_leader_seen_at_; }
    /// For a leader: the sending time of the latest heartbeat round that \p name acknowledged.
    [[nodiscard]] absl::Time last_contact(const std::string& name) const;

private:
    enum class role
    {
        follower,
        pre_candidate,
        candidate,
        leader
    };

    /// A message that is sent once a write is durable.
    struct deferred_message
    {
        std::uint64_t ticket;
        base::node_name to;
        schema::envelope message;
    };

    void on_vote_request(const base::node_name& from, const schema::vote_request& request);
    void on_vote_reply(const schema::vote_reply& reply);
    void on_append(const base::node_name& from, const schema::append_request& request);
    void on_append_reply(const schema::append_reply& reply);
    void on_chunk(const base::node_name& from, const schema::snapshot_chunk& chunk);

    void start_pre_vote();
    void start_election(bool handed_over = false);
    void request_votes(bool pre_vote, bool handed_over = false);
    void count_vote(const std::string& voter);
    void become_leader();
    /// In a new term, stores the term with the vote for \p voted_for in one write.
    void become_follower(std::uint64_t term, const std::string& voted_for = "");
    void record_leader_contact(const std::string& leader, std::uint64_t term);
    void reset_election_deadline();
    [[nodiscard]] bool is_log_up_to_date(std::uint64_t last_index, std::uint64_t last_term) const;
    [[nodiscard]] bool may_vote(bool handed_over) const;
    void on_hand_over(const base::node_name& from, const schema::hand_over& request);

    void append_local(std::vector<schema::log_entry> entries);
    void register_peer_addresses();
    bool matches_previous_entry(const schema::append_request& request, std::uint64_t& hint) const;
    void store_entries(const schema::append_request& request);
    void acknowledge(const base::node_name& to, bool success, std::uint64_t match);
    void acknowledge_synced();
    void install_snapshot(const base::node_name& from, const schema::ledger_snapshot& snapshot);
    void reply_installed(const base::node_name& to, std::uint64_t last_index);

    void advance_commit();
    void commit_to(std::uint64_t index);
    void take_snapshot_if_due();
    [[nodiscard]] schema::ledger_snapshot make_snapshot() const;
    void promote_learner();
    [[nodiscard]] bool is_change_pending() const;
    std::uint64_t propose_members(const schema::keeper_set& set);

    log_options options_;
    const keeper_ports& ports_;
    state_machine& state_machine_;
    durable_log log_;
    keeper_members members_;
    replicator replicator_;
    snapshot_receiver receiver_;
    role role_ = role::follower;
    bool failed_ = false;
    bool leadership_disabled_ = false;
    std::string leader_;             ///< of the current term; empty while unknown
    base::node_name leader_node_;    ///< sender of the leader's messages
    absl::Time last_leader_contact_; ///< time of the last message from a leader, or of the start
    /// Like last_leader_contact_, but also the end of own leadership, and kept when leadership is
    /// handed over.
    absl::Time leader_seen_at_;
    /// The latest leader_seen_at_ of this keeper and those that voted for it.
    absl::Time earlier_leader_seen_at_;
    absl::Time election_deadline_;     ///< when to start an election
    std::uint32_t lost_elections_ = 0; ///< started since the last contact with a leader
    absl::Time leading_since_;
    absl::flat_hash_set<std::string> votes_; ///< granted in the current election
    std::uint64_t commit_index_ = 0;
    std::uint64_t applied_index_ = 0;
    std::uint64_t snapshot_index_ = 0;   ///< end of the latest snapshot
    std::uint64_t term_start_index_ = 0; ///< first entry of this leader's term
    std::uint64_t verified_index_ = 0;   ///< end of the log prefix that equals the current leader's
    std::uint64_t last_round_ = 0;       ///< latest heartbeat round of the current leader
    std::uint64_t acknowledged_index_ = 0; ///< greatest index acknowledged to the current leader
    std::deque<deferred_message> deferred_messages_; ///< by ascending ticket; of the current term
};

} // namespace savoryreach::keeper

#endif
