#ifndef SAVORYREACH_DISPATCH_QUEUE_ROUTER_HPP
#define SAVORYREACH_DISPATCH_QUEUE_ROUTER_HPP

#include "schema/generated/dispatch.pb.h"

#include <absl/container/flat_hash_map.h>

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

private:
    /// Queues of each host, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<schema::queue_config>> by_host_;
};

} // namespace savoryreach::dispatch

#endif
