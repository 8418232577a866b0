#include "savoryreach/net/memory_budget.hpp"

#include <iterator>

namespace savoryreach::net
{

memory_budget::decision memory_budget::request(id holder, std::size_t bytes)
{
    decision out;
    const auto before = holdings_[holder];
    set(holder, {bytes, false});
    while (used_ > limit_)
    {
        const auto largest = by_size_.empty() ? holder : std::prev(by_size_.end())->second;
        if (largest == holder)
        {
            set(holder, before);
            return out;
        }
        remove(largest);
        out.to_close.push_back(largest);
    }
    out.granted = true;
    return out;
}

void memory_budget::keep(id holder, std::size_t bytes)
{
    set(holder, {bytes, true});
}

void memory_budget::remove(id holder)
{
    set(holder, {});
    by_size_.erase({0, holder});
    holdings_.erase(holder);
}

void memory_budget::set(id holder, holding value)
{
    auto& it = holdings_[holder];
    by_size_.erase({it.bytes, holder});
    used_ = used_ - it.bytes + value.bytes;
    it = value;
    if (!value.kept)
    {
        by_size_.emplace(value.bytes, holder);
    }
}

} // namespace savoryreach::net
