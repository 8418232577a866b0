#ifndef SAVORYREACH_KEEPER_LOG_STORAGE_HPP
#define SAVORYREACH_KEEPER_LOG_STORAGE_HPP

#include "schema/generated/ledger.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::keeper
{

/// The stored state that a keeper reads at start.
struct stored_state
{
    schema::hard_state hard_state;
    std::optional<schema::ledger_snapshot> snapshot;
    std::vector<schema::log_entry> entries; ///< consecutive; the first one follows the snapshot
};

/// Durable state of one keeper. Writes are queued in order and become durable together (group
/// commit). Each write has a ticket, a rising number; keeper_core::persisted(ticket) reports that
/// all writes up to it are durable. Called from the control thread only; never blocks. After a
/// failed write, no later write becomes durable until the storage is opened again.
class log_storage
{
public:
    virtual ~log_storage() = default;

    /// Queues \p entries after the last one. Returns the ticket of this write.
    virtual std::uint64_t append(std::vector<schema::log_entry> entries) = 0;

    /// Queues the removal of all entries with \p index or a greater one.
    virtual std::uint64_t truncate_from(std::uint64_t index) = 0;

    /// Queues the current term and vote.
    virtual std::uint64_t save_hard_state(const schema::hard_state& state) = 0;

    /// Queues a snapshot and drops the entries that it covers. Later entries stay.
    virtual std::uint64_t save_snapshot(const schema::ledger_snapshot& snapshot) = 0;
};

} // namespace savoryreach::keeper

#endif
