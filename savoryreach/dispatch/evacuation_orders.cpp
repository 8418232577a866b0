#include "savoryreach/dispatch/evacuation_orders.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace savoryreach::dispatch
{

const evacuation_orders::pending_change*
evacuation_orders::find_newest(const std::string& data_centre) const
{
    const auto it = std::find_if(pending_.rbegin(), pending_.rend(),
                                 [&data_centre](const pending_change& change)
                                 { return change.data_centre == data_centre; });
    return it == pending_.rend() ? nullptr : &*it;
}

order_step evacuation_orders::decide(const evacuation_order& it, const fleet_store& store,
                                     absl::Time now) const
{
    if (now >= it.given_up_at)
    {
        return order_step::drop;
    }
    if (now > it.stamped_at + max_confirm_time)
    {
        return order_step::confirm;
    }
    if (const auto* newest = find_newest(it.data_centre))
    {
        return newest->ends == it.ends ? order_step::await : order_step::propose;
    }
    const bool is_wanted_state = store.evacuated().contains(it.data_centre) != it.ends;
    return is_wanted_state ? order_step::acknowledge : order_step::propose;
}

void evacuation_orders::on_proposed(const evacuation_order& it, std::uint64_t index)
{
    assert(pending_.empty() || pending_.back().index < index);
    pending_.push_back({index, it.data_centre, it.ends, {it.origin}});
}

void evacuation_orders::on_awaited(const evacuation_order& it)
{
    const auto* newest = find_newest(it.data_centre);
    assert(newest != nullptr && newest->ends == it.ends);
    auto& origins = pending_[static_cast<std::size_t>(newest - pending_.data())].origins;
    if (std::ranges::find(origins, it.origin) == origins.end())
    {
        origins.push_back(it.origin);
    }
}

std::vector<request_ref> evacuation_orders::on_applied(std::uint64_t index)
{
    std::vector<request_ref> out;
    const auto end = std::ranges::find_if(pending_, [index](const pending_change& it)
                                          { return it.index > index; });
    for (auto it = pending_.begin(); it != end; ++it)
    {
        out.insert(out.end(), it->origins.begin(), it->origins.end());
    }
    pending_.erase(pending_.begin(), end);
    return out;
}

} // namespace savoryreach::dispatch
