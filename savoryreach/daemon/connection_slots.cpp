#include "savoryreach/daemon/connection_slots.hpp"

namespace savoryreach::daemon
{

connection_slots::addition connection_slots::add(std::size_t max_connections)
{
    addition out;
    out.added = ++last_id_;
    const place last = {state::idle, ++last_change_};
    places_[out.added] = last;
    order_[last] = out.added;
    while (places_.size() > max_connections)
    {
        const auto closed = next_to_close(out.added);
        if (!closed)
        {
            ++refused_;
            remove(out.added);
            out.to_close.push_back(out.added);
            break;
        }
        ++closed_for_room_;
        remove(*closed);
        out.to_close.push_back(*closed);
    }
    return out;
}

void connection_slots::remove(id it)
{
    if (const auto found = places_.find(it); found != places_.end())
    {
        order_.erase(found->second);
        places_.erase(found);
    }
}

void connection_slots::move(id it, state to)
{
    const auto found = places_.find(it);
    if (found == places_.end())
    {
        return;
    }
    order_.erase(found->second);
    found->second = {to, ++last_change_};
    order_[found->second] = it;
}

std::optional<connection_slots::id> connection_slots::next_to_close(id added) const
{
    for (const auto& [place, it] : order_)
    {
        if (place.in == state::serving)
        {
            return std::nullopt;
        }
        if (it != added)
        {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace savoryreach::daemon
