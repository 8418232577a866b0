#ifndef SAVORYREACH_DISPATCH_QUEUE_ROUTER_HPP
#define SAVORYREACH_DISPATCH_QUEUE_ROUTER_HPP

#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryreach::dispatch
{

/// Finds the queue of a request by its host and the longest prefix of its path.
class queue_router
{
public:
    void load(const schema::fleet_config& config);

    /// \p host in lower case. Null when no queue matches the request.
    [[nodiscard]] const schema::queue_config* find(const std::string& host,
                                                   std::string_view path) const;
    /// True if the endpoints of the service take what they are sent, so that the dispatcher owns
    /// their room and can plan it.
    [[nodiscard]] bool owns_room(const std::string& service) const
    {
        return unguarded_services_.contains(service);
    }
    /// Number of priorities of the queue's service that precede the queue's.
    [[nodiscard]] std::size_t priority_rank(const schema::queue_config& queue) const;

private:
    /// Queues of each host, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<schema::queue_config>> by_host_;
    absl::flat_hash_map<std::string, absl::btree_set<std::uint32_t>> priorities_; ///< by service
    absl::flat_hash_set<std::string> unguarded_services_;
};

} // namespace savoryreach::dispatch

#endif
