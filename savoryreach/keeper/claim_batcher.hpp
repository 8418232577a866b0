#ifndef SAVORYREACH_KEEPER_CLAIM_BATCHER_HPP
#define SAVORYREACH_KEEPER_CLAIM_BATCHER_HPP

#include "savoryreach/keeper/request_key.hpp"
#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::keeper
{

/// Claims of one owner epoch that form one log entry, with the requests that contain them.
struct claim_group
{
    schema::claim_batch batch;
    std::vector<std::pair<request_key, int>> requests; ///< requests with their number of claims
};

/// Collects claim requests into groups. At most one group of each owner epoch is in the log and not
/// yet applied; requests that arrive in the meantime form the next group.
class claim_batcher
{
public:
    /// False when too many claims are waiting; the requester resends.
    bool add(const request_key& key, const schema::claim_batch& batch);
    /// Removes and returns the next group that can be proposed, if any.
    std::optional<claim_group> next_group();
    /// Called when the group of \p owner_epoch has been applied.
    void on_applied(std::uint64_t owner_epoch);
    void clear();

private:
    struct queue
    {
        std::deque<std::pair<request_key, schema::claim_batch>> waiting;
        bool in_log = false;
    };

    absl::btree_map<std::uint64_t, queue> queues_; ///< by owner epoch
    std::size_t waiting_claims_ = 0;               ///< in all queues
};

} // namespace savoryreach::keeper

#endif
