// Grants every session the whole capacity; replaced by the library's allocator once it is merged.
#include "savoryreach/agent/credit_allocator.hpp"

namespace savoryreach::agent
{

credit_allocator::credit_allocator(std::uint32_t slots, std::uint32_t prefetch)
    : slots_(slots), prefetch_(prefetch)
{
}

void credit_allocator::session_opened(std::uint64_t epoch)
{
    sessions_[epoch] = {};
}

void credit_allocator::session_closed(std::uint64_t epoch)
{
    sessions_.erase(epoch);
}

void credit_allocator::set_demand(std::uint64_t epoch, std::uint32_t waiting)
{
    sessions_.at(epoch).demand = waiting;
}

void credit_allocator::start_received(std::uint64_t epoch)
{
    ++sessions_.at(epoch).received;
    ++sessions_.at(epoch).unfinished;
}

void credit_allocator::start_ended(std::uint64_t epoch)
{
    if (const auto it = sessions_.find(epoch); it != sessions_.end() && it->second.unfinished > 0)
    {
        --it->second.unfinished;
    }
}

void credit_allocator::set_draining(bool draining)
{
    draining_ = draining;
}

std::vector<credit_change> credit_allocator::rebalance()
{
    std::vector<credit_change> changes;
    for (auto& [epoch, session] : sessions_)
    {
        const auto limit = session.received + slots_ + prefetch_ - session.unfinished;
        if (!draining_ && limit > session.limit)
        {
            session.limit = limit;
            changes.push_back({epoch, limit});
        }
    }
    return changes;
}

} // namespace savoryreach::agent
