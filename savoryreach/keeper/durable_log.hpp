#ifndef SAVORYREACH_KEEPER_DURABLE_LOG_HPP
#define SAVORYREACH_KEEPER_DURABLE_LOG_HPP

#include "savoryreach/keeper/log_storage.hpp"
#include "schema/generated/ledger.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::keeper
{

/// The log and the hard state (term and vote) of one keeper: held in memory, written through to the
/// storage, with the position up to which they are durable.
class durable_log
{
public:
    /// Starts with the hard state, the entries and the snapshot position of \p stored.
    durable_log(log_storage& storage, const stored_state& stored);

    /// First index held in memory; entries before it are covered by a snapshot.
    [[nodiscard]] std::uint64_t first_index() const { return prefix_index_ + 1; }
    [[nodiscard]] std::uint64_t last_index() const { return prefix_index_ + entries_.size(); }
    [[nodiscard]] std::uint64_t last_term() const { return *term_at(last_index()); }
    /// Nullopt when the entry does not exist or its term was compacted. Index 0 has term 0.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    /// The entry at \p index, which must be held in memory.
    [[nodiscard]] const schema::log_entry& at(std::uint64_t index) const;

    void append(std::vector<schema::log_entry> entries);
    /// Removes the entries with \p index or a greater one.
    void truncate_from(std::uint64_t index);
    /// Stores a snapshot of this keeper's state and drops the entries that it covers, except for
    /// the last \p retained ones.
    void compact(const schema::ledger_snapshot& snapshot, std::uint64_t retained);
    /// Stores the leader's snapshot. Later entries stay if the log matches the snapshot's end.
    void install_snapshot(const schema::ledger_snapshot& snapshot);
    void save_hard_state(std::uint64_t term, const std::string& voted_for);

    [[nodiscard]] const schema::hard_state& hard_state() const { return hard_state_; }
    /// True when the current term and vote are durable.
    [[nodiscard]] bool is_hard_state_synced() const
    {
        return persisted_ticket_ >= hard_state_ticket_;
    }
    /// Index up to which the current log is durable.
    [[nodiscard]] std::uint64_t synced_index() const { return synced_index_; }
    /// Ticket of the latest write.
    [[nodiscard]] std::uint64_t last_ticket() const { return last_ticket_; }
    [[nodiscard]] std::uint64_t persisted_ticket() const { return persisted_ticket_; }

    void persisted(std::uint64_t ticket);

private:
    void drop_prefix(std::uint64_t through);

    log_storage& storage_;
    schema::hard_state hard_state_;
    std::deque<schema::log_entry> entries_; ///< from prefix_index_ + 1
    std::uint64_t prefix_index_ = 0;        ///< last index that is not in memory
    std::uint64_t prefix_term_ = 0;         ///< its term
    std::uint64_t synced_index_ = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> unsynced_; ///< (ticket, last index)
    std::uint64_t hard_state_ticket_ = 0;                          ///< 0: not written since start
    std::uint64_t last_ticket_ = 0;
    std::uint64_t persisted_ticket_ = 0;
};

} // namespace savoryreach::keeper

#endif
