#ifndef SAVORYREACH_KEEPER_REPLICATOR_HPP
#define SAVORYREACH_KEEPER_REPLICATOR_HPP

#include "savoryreach/keeper/durable_log.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "savoryreach/keeper/keeper_members.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace savoryreach::keeper
{

/// The leader's side of replication during one term: for each other keeper the replicated index,
/// the acknowledged heartbeat rounds and the messages to send. A round is one heartbeat to all
/// other keepers; its number, echoed in the acknowledgements, gives the time of the last contact.
class replicator
{
public:
    /// Creates a snapshot of the applied state; called for a keeper that needs compacted entries.
    using snapshot_maker = std::function<schema::ledger_snapshot()>;

    replicator(std::string self, const durable_log& log, const keeper_members& members,
               const keeper_ports& ports, snapshot_maker make_snapshot);

    /// Resets the state of all peers for the leadership in \p term.
    void start(std::uint64_t term);
    /// Adds and removes peers after a change of the keeper set.
    void update_peers();

    /// Sends a round when one is due, and resends unacknowledged entries and snapshot chunks.
    void tick(std::uint64_t commit_index);
    /// Sends entries that were not sent to the other keepers yet.
    void send_entries(std::uint64_t commit_index);
    /// Sends a round immediately.
    void send_round(std::uint64_t commit_index);

    void on_append_reply(const std::string& from, const schema::append_reply& reply);
    void on_snapshot_reply(const std::string& from, const schema::snapshot_reply& reply);

    /// The greatest index that is durable on a quorum of voters.
    [[nodiscard]] std::uint64_t quorum_index() const;
    /// The latest sending time of a round that a quorum of voters acknowledged.
    [[nodiscard]] absl::Time quorum_contact() const;
    [[nodiscard]] std::uint64_t match_index(const std::string& name) const;
    /// When the latest round that \p name has acknowledged was sent.
    [[nodiscard]] absl::Time last_contact(const std::string& name) const;
    /// True when the keeper acknowledged a round within the leader lease and holds all entries up
    /// to \p index.
    [[nodiscard]] bool is_caught_up(const std::string& name, std::uint64_t index) const;

private:
    struct snapshot_transfer
    {
        std::shared_ptr<const std::string> bytes; ///< serialised ledger_snapshot
        std::uint64_t last_index = 0;
        std::uint64_t last_term = 0;
        std::uint64_t offset = 0; ///< acknowledged bytes
        absl::Time resend_at;
    };

    struct peer
    {
        std::uint64_t match_index = 0;  ///< last index known to be durable on the peer
        std::uint64_t next_index = 1;   ///< next entry to send
        bool probing = true;            ///< the last common index is not known yet
        absl::Time acked_round_sent_at; ///< sending time of the latest acknowledged round
        absl::Time resend_at;           ///< when unacknowledged entries are sent again
        std::unique_ptr<snapshot_transfer> snapshot;
    };

    void send_append(const std::string& name, peer& target, std::uint64_t previous,
                     std::uint64_t commit_index, bool with_entries);
    void send_round_to(const std::string& name, peer& target, std::uint64_t commit_index);
    void send_entries_to(const std::string& name, peer& target, std::uint64_t commit_index);
    /// Starts a snapshot transfer to a keeper that responds.
    void begin_snapshot(const std::string& name, peer& target);
    void send_chunk(const std::string& name, peer& target);
    [[nodiscard]] bool is_unresponsive(const peer& target) const;
    [[nodiscard]] absl::Time round_sent_at(std::uint64_t round) const;

    std::string self_;
    const durable_log& log_;
    const keeper_members& members_;
    const keeper_ports& ports_;
    snapshot_maker make_snapshot_;
    std::uint64_t term_ = 0;
    std::uint64_t round_ = 0; ///< number of the latest round; also rises across terms
    absl::Time next_round_at_;
    std::deque<std::pair<std::uint64_t, absl::Time>> rounds_; ///< sending times of recent rounds
    absl::btree_map<std::string, peer> peers_;                ///< all members but this keeper
};

} // namespace savoryreach::keeper

#endif
