#ifndef SAVORYREACH_KEEPER_CLAIM_TABLE_HPP
#define SAVORYREACH_KEEPER_CLAIM_TABLE_HPP

#include "savoryreach/keeper/epoch_table.hpp"
#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryreach::keeper
{

/// 128-bit digest of a submission id or of a submission's content.
struct digest_value
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const digest_value&, const digest_value&) = default;
};

/// Digest values are uniformly distributed, so one half of the value is a sufficient hash.
struct digest_value_hash
{
    std::size_t operator()(const digest_value& value) const { return value.low; }
};

/// The claims of the ledger: which entry epoch owns a submission. A claim takes 48 bytes in the
/// table and 16 in the list of its expiry minute, independent of the length of its submission id.
class claim_table
{
public:
    /// Compare-and-set of one claim for the live epoch \p claimant_epoch. \p max_claims limits the
    /// size of the table.
    schema::claim_result claim(const schema::claim& claim, std::uint64_t claimant_epoch,
                               epoch_table& epochs, std::uint32_t expiry_minute,
                               std::uint64_t max_claims);
    /// Marks a claim as finished if \p owner holds it.
    void finish(std::string_view submission_id, std::uint64_t owner, epoch_table& epochs,
                std::uint32_t expiry_minute);
    /// Drops the claims whose expiry minute is at most \p minute.
    void remove_expired(std::uint32_t minute);

    [[nodiscard]] std::size_t size() const { return size_; }

    void save(schema::ledger_snapshot& snapshot) const;
    /// Replaces all claims and updates the retention of their epochs in \p epochs. False when a
    /// record is malformed.
    bool load(const schema::ledger_snapshot& snapshot, epoch_table& epochs);
    [[nodiscard]] std::uint64_t hash() const;

private:
    struct row
    {
        digest_value digest;
        std::uint64_t owner = 0;
        std::uint32_t expiry_minute = 0; ///< whole minutes since 1970
        bool finished = false;
        bool has_earlier_owners = false; ///< earlier_owners_ has an element for this claim
    };
    static_assert(sizeof(row) == 32);

    using shard = absl::flat_hash_map<digest_value, row, digest_value_hash>;

    shard& shard_of(const digest_value& key) { return shards_[key.high % shard_count]; }
    /// Extends the expiry of a claim and the retention of its epochs; an expiry never decreases.
    void extend(const digest_value& key, row& claim_row, epoch_table& epochs, std::uint32_t minute);
    void take_over(const digest_value& key, row& claim_row, std::uint64_t claimant_epoch,
                   const epoch_table& epochs);
    [[nodiscard]] schema::claim_result ownership_result(const digest_value& key,
                                                        const row& claim_row) const;

    /// Shards rehash one at a time; a single large table would block for its whole rehash.
    static constexpr std::size_t shard_count = 256;

    std::array<shard, shard_count> shards_; ///< by the high half of the id's digest
    std::size_t size_ = 0;                  ///< claims in all shards
    absl::flat_hash_map<digest_value, std::vector<std::uint64_t>, digest_value_hash>
        earlier_owners_; ///< fenced earlier owners, for claims that were taken over
    absl::btree_map<std::uint32_t, std::vector<digest_value>>
        expiries_; ///< keys by expiry minute; the old element of an extended claim is skipped
};

} // namespace savoryreach::keeper

#endif
