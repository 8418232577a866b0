#ifndef SAVORYREACH_KEEPER_EPOCH_TABLE_HPP
#define SAVORYREACH_KEEPER_EPOCH_TABLE_HPP

#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::keeper
{

/// Status of an entry epoch: one process of an entry between its join and its end.
enum class epoch_status
{
    unknown, ///< never joined, or removed after its retention
    live,
    fenced, ///< ended by expiry or replacement; its tasks may still be running
    left    ///< ended by a drain; none of its tasks can be running
};

/// The live and ended entry epochs of the ledger.
class epoch_table
{
public:
    /// Returns the epoch of the joining process: the existing one if the process is known, else a
    /// new one with the number \p index. Fences a live epoch of another process with the same name,
    /// because the new process replaces it. Sets \p changed when the membership changed.
    std::uint64_t join(const schema::join_entry& join, std::uint64_t index, std::int64_t now_ms,
                       bool& changed);
    /// Ends a live epoch; false when it was not live.
    bool end_epoch(std::uint64_t epoch, bool left, std::int64_t now_ms);

    [[nodiscard]] const schema::epoch_record* find(std::uint64_t epoch) const;
    [[nodiscard]] epoch_status status(std::uint64_t epoch) const;
    [[nodiscard]] std::vector<std::uint64_t> live() const;
    [[nodiscard]] std::size_t live_count() const;
    /// True when an epoch ended within [\p from_ms, \p to_ms] and still has a record.
    [[nodiscard]] bool any_ended_between(std::int64_t from_ms, std::int64_t to_ms) const;

    /// Keeps the record of \p epoch at least until the given minute, because a claim refers to it.
    void retain_until(std::uint64_t epoch, std::uint32_t until_minute);
    /// Removes epochs that ended more than \p retention_ms ago and that no claim refers to.
    void prune(std::int64_t now_ms, std::int64_t retention_ms);

    /// Adds the live entries and the recently fenced epochs to \p view.
    void fill_view(schema::cluster_view& view, std::int64_t now_ms) const;
    void save(schema::ledger_snapshot& snapshot) const;
    void load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct row
    {
        schema::epoch_record record;
        std::uint32_t retained_until_minute = 0; ///< derived from the claims; not in snapshots
    };

    absl::btree_map<std::uint64_t, row> rows_; ///< by epoch
};

} // namespace savoryreach::keeper

#endif
