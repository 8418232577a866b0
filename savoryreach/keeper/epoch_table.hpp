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

/// How an entry epoch stands.
enum class epoch_standing
{
    unknown, ///< never joined, or forgotten after its retention
    live,
    fenced, ///< ended by expiry or replacement; its tasks must be accounted for
    left    ///< ended by a drain; nothing of it can be running
};

/// The entry epochs of the ledger, live and ended ones.
class epoch_table
{
public:
    /// Gives the epoch of \p join: the one it has already when the process is known, else \p index.
    /// A live epoch of another process with the same name is fenced, as a restarted process has
    /// replaced it. Sets \p changed when the membership changed.
    std::uint64_t join(const schema::join_entry& join, std::uint64_t index, std::int64_t now_ms,
                       bool& changed);
    /// Ends a live epoch; false when it was not live.
    bool end(std::uint64_t epoch, bool left, std::int64_t now_ms);

    [[nodiscard]] const schema::epoch_record* find(std::uint64_t epoch) const;
    [[nodiscard]] epoch_standing standing(std::uint64_t epoch) const;
    [[nodiscard]] std::vector<std::uint64_t> live() const;
    [[nodiscard]] std::size_t live_count() const;
    /// True when an epoch was fenced within [\p from_ms, \p to_ms] and is still kept.
    [[nodiscard]] bool any_ended_between(std::int64_t from_ms, std::int64_t to_ms) const;

    /// A claim refers to \p epoch until the given minute; the record is kept as long.
    void refer(std::uint64_t epoch, std::uint32_t until_minute);
    /// Drops ended epochs after \p retention_ms that no claim refers to.
    void prune(std::int64_t now_ms, std::int64_t retention_ms);

    /// Adds the live entries and the fences of the last minutes to \p view.
    void fill_view(schema::cluster_view& view, std::int64_t now_ms) const;
    void save(schema::ledger_snapshot& snapshot) const;
    void load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct row
    {
        schema::epoch_record record;
        std::uint32_t kept_until_minute = 0; ///< follows from the claims; not in snapshots
    };

    absl::btree_map<std::uint64_t, row> rows_; ///< by epoch
};

} // namespace savoryreach::keeper

#endif
