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

/// How a replicated log starts.
struct log_options
{
    std::string self;
    schema::keeper_set initial_members; ///< in force while the log is empty; empty for a learner
    std::uint64_t snapshot_every = 0;   ///< applied entries between snapshots
};

/// A log that a quorum of keepers agrees on. Nothing is acknowledged, voted or counted before the
/// write that it rests on is durable.
class replicated_log
{
public:
    /// \p machine must be empty; it is loaded from the stored snapshot.
    replicated_log(log_options options, const stored_state& stored, const keeper_ports& ports,
                   state_machine& machine);

    /// Takes a message from another keeper; false when it is of no concern to the log.
    bool receive(const base::node_name& from, const schema::envelope& message);
    void tick();
    void persisted(std::uint64_t ticket);
    /// Stops voting, leading and acknowledging for good.
    void storage_failed();

    /// Appends \p command when this keeper leads; gives its index. It is sent by flush() or tick().
    std::optional<std::uint64_t> propose(schema::command command);
    /// Sends appended entries to the other keepers.
    void flush();
    /// Proposes to add or remove one keeper; gives the index, or nullopt with \p why. An index that
    /// is committed already means that there is nothing to change.
    std::optional<std::uint64_t> change_members(const schema::change_keepers& change,
                                                std::string& why);
    /// Stops leading and standing for election; still votes and acknowledges. A leader asks the
    /// most advanced follower to stand at once, so that no election timeout passes.
    void transfer_leadership();

    [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
    /// True for a leader that knows of no later leader and has applied all that was committed
    /// before its term.
    [[nodiscard]] bool can_serve() const;
    /// True when this keeper can serve, or when a leader was heard from within the shortest
    /// election timeout.
    [[nodiscard]] bool hears_leader() const;
    [[nodiscard]] bool is_failed() const { return failed_; }
    [[nodiscard]] const std::string& leader() const { return leader_; }
    [[nodiscard]] std::string_view role_name() const;
    [[nodiscard]] std::uint64_t term() const { return log_.hard_state().term(); }
    [[nodiscard]] std::uint64_t last_index() const { return log_.last_index(); }
    [[nodiscard]] std::uint64_t commit_index() const { return commit_index_; }
    [[nodiscard]] std::uint64_t applied_index() const { return applied_index_; }
    [[nodiscard]] const keeper_members& members() const { return members_; }
    [[nodiscard]] std::uint64_t match_index(const std::string& name) const;
    /// For a leader: when the latest round that \p name has answered was sent.
    [[nodiscard]] absl::Time last_contact(const std::string& name) const;

private:
    enum class role
    {
        follower,
        pre_candidate,
        candidate,
        leader
    };

    /// A message that may leave once a write is durable.
    struct held_message
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

    void begin_pre_vote();
    void begin_candidacy(bool handed_over = false);
    void ask_for_votes(bool pre_vote, bool handed_over = false);
    void count_vote(const std::string& voter);
    void lead();
    void follow(std::uint64_t term);
    void hear_leader(const std::string& leader, std::uint64_t term);
    void reset_election_deadline();
    [[nodiscard]] bool is_log_current(std::uint64_t last_index, std::uint64_t last_term) const;
    [[nodiscard]] bool may_vote(bool handed_over) const;
    void on_hand_over(const base::node_name& from, const schema::hand_over& request);

    void append_local(std::vector<schema::log_entry> entries);
    void learn_addresses();
    bool matches(const schema::append_request& request, std::uint64_t& hint) const;
    void take_entries(const schema::append_request& request);
    void acknowledge(const base::node_name& to, bool success, std::uint64_t match);
    void acknowledge_synced();
    void install(const base::node_name& from, const schema::ledger_snapshot& snapshot);
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
    std::string leader_;           ///< of the present term; empty while unknown
    base::node_name leader_node_;  ///< where the leader's messages come from
    absl::Time leader_heard_at_;   ///< last message from a leader, or the start
    absl::Time election_deadline_; ///< when to stand for election
    absl::Time leading_since_;
    absl::flat_hash_set<std::string> votes_; ///< granted in the present election
    std::uint64_t commit_index_ = 0;
    std::uint64_t applied_index_ = 0;
    std::uint64_t snapshot_index_ = 0;     ///< end of the latest snapshot
    std::uint64_t own_term_index_ = 0;     ///< first entry of this leader's term
    std::uint64_t verified_index_ = 0;     ///< end of the log that equals the present leader's
    std::uint64_t last_round_ = 0;         ///< latest round of the present leader
    std::uint64_t acknowledged_index_ = 0; ///< greatest index acknowledged to the present leader
    std::deque<held_message> held_;        ///< by ascending ticket; of the present term
};

} // namespace savoryreach::keeper

#endif
