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

/// Claims of one owner epoch that go into one log entry, with the requests they came from.
struct claim_group
{
    schema::claim_batch batch;
    std::vector<std::pair<request_key, int>> parts; ///< requests with their number of claims
};

/// Collects claim requests. At most one group of an owner epoch is in the log at a time; all
/// requests that arrive meanwhile form the next one.
class claim_batcher
{
public:
    /// False when too many claims wait already; the requester will resend.
    bool add(const request_key& key, const schema::claim_batch& batch);
    /// The next group that may go into the log, if any.
    std::optional<claim_group> take();
    /// The group of \p owner_epoch has been applied.
    void done(std::uint64_t owner_epoch);
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
