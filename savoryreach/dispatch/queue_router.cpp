#include "savoryreach/dispatch/queue_router.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <iterator>

namespace savoryreach::dispatch
{

void queue_router::load(const schema::fleet_config& config)
{
    by_host_.clear();
    priorities_.clear();
    unguarded_services_.clear();
    for (const auto& it : config.services())
    {
        if (!it.guards_capacity())
        {
            unguarded_services_.insert(it.name());
        }
    }
    for (const auto& it : config.queues())
    {
        const auto host = absl::AsciiStrToLower(it.host());
        auto& added = by_host_[host].emplace_back(it);
        added.set_host(host);
        priorities_[it.service()].insert(it.priority());
    }
    for (auto& [host, queues] : by_host_)
    {
        std::ranges::sort(queues, std::ranges::greater(),
                          [](const auto& it) { return it.path_prefix().size(); });
    }
}

const schema::queue_config* queue_router::find(const std::string& host, std::string_view path) const
{
    const auto it = by_host_.find(host);
    if (it == by_host_.end())
    {
        return nullptr;
    }
    const auto queue = std::ranges::find_if(it->second, [path](const auto& q)
                                            { return path.starts_with(q.path_prefix()); });
    return queue == it->second.end() ? nullptr : &*queue;
}

std::size_t queue_router::priority_rank(const schema::queue_config& queue) const
{
    const auto it = priorities_.find(queue.service());
    return it == priorities_.end()
               ? 0
               : static_cast<std::size_t>(
                     std::distance(it->second.begin(), it->second.lower_bound(queue.priority())));
}

} // namespace savoryreach::dispatch
