#include "savoryreach/entry/link_timers.hpp"

namespace savoryreach::entry
{

void link_timers::set(agent_link& link, absl::Time at)
{
    auto& current = link.*field_;
    if (at >= current)
    {
        return;
    }
    remove(link);
    current = at;
    order_.emplace(at, link.number, &link);
}

void link_timers::remove(agent_link& link)
{
    auto& current = link.*field_;
    if (current != absl::InfiniteFuture())
    {
        order_.erase({current, link.number, &link});
        current = absl::InfiniteFuture();
    }
}

std::vector<agent_link*> link_timers::take_due(absl::Time now)
{
    std::vector<agent_link*> due;
    while (!order_.empty() && std::get<absl::Time>(*order_.begin()) <= now)
    {
        due.push_back(std::get<agent_link*>(*order_.begin()));
        due.back()->*field_ = absl::InfiniteFuture();
        order_.erase(order_.begin());
    }
    return due;
}

} // namespace savoryreach::entry
