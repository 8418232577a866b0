#include "savoryreach/agent/credit_allocator.hpp"

#include <algorithm>
#include <cassert>

namespace savoryreach::agent
{
namespace
{

/// The additional credit that one session requests in one rebalancing.
struct credit_request
{
    std::uint64_t epoch = 0;
    std::uint64_t floor = 0; ///< minimum credit, granted outside of the division
    std::uint64_t wanted = 0;
    std::uint64_t granted = 0;
    std::uint64_t remainder = 0; ///< of the proportional division
};

/// Divides \p available in proportion to `wanted` by the largest remainder method; lower epochs win
/// ties.
void divide_proportionally(std::uint64_t available, std::vector<credit_request>& requests)
{
    std::uint64_t total = 0;
    for (const auto& it : requests)
    {
        total += it.wanted;
    }
    if (total <= available)
    {
        for (auto& it : requests)
        {
            it.granted = it.wanted;
        }
        return;
    }
    std::uint64_t left = available;
    for (auto& it : requests)
    {
        it.granted = available * it.wanted / total;
        it.remainder = available * it.wanted % total;
        left -= it.granted;
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const credit_request& a, const credit_request& b)
                     { return a.remainder > b.remainder; });
    assert(left <= requests.size());
    for (std::uint64_t i = 0; i < left; ++i)
    {
        ++requests[i].granted;
    }
}

} // namespace

credit_allocator::credit_allocator(std::uint32_t slots, std::uint32_t prefetch)
    : slots_(slots), prefetch_(prefetch)
{
}

void credit_allocator::session_opened(std::uint64_t epoch)
{
    session& s = sessions_[epoch];
    s = session{0, 0, s.unfinished, 0, true};
}

void credit_allocator::session_closed(std::uint64_t epoch)
{
    const auto it = sessions_.find(epoch);
    if (it == sessions_.end())
    {
        return;
    }
    it->second = session{0, 0, it->second.unfinished, 0, false};
    if (it->second.unfinished == 0)
    {
        sessions_.erase(it);
    }
}

void credit_allocator::set_demand(std::uint64_t epoch, std::uint32_t waiting)
{
    const auto it = sessions_.find(epoch);
    if (it != sessions_.end() && it->second.open)
    {
        it->second.demand = waiting;
    }
}

void credit_allocator::start_received(std::uint64_t epoch)
{
    const auto it = sessions_.find(epoch);
    if (it == sessions_.end() || !it->second.open)
    {
        return;
    }
    session& s = it->second;
    ++s.received;
    ++s.unfinished;
    // The task no longer waits at the entry; the next demand report from the entry confirms this.
    if (s.demand > 0)
    {
        --s.demand;
    }
}

void credit_allocator::start_ended(std::uint64_t epoch)
{
    const auto it = sessions_.find(epoch);
    if (it == sessions_.end())
    {
        return;
    }
    session& s = it->second;
    if (s.unfinished > 0)
    {
        --s.unfinished;
    }
    if (!s.open && s.unfinished == 0)
    {
        sessions_.erase(it);
    }
}

void credit_allocator::set_draining(bool draining)
{
    draining_ = draining;
}

std::vector<credit_change> credit_allocator::rebalance()
{
    if (draining_)
    {
        return {};
    }
    const auto open = std::count_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& it) { return it.second.open; });
    const bool has_floor = open <= static_cast<std::ptrdiff_t>(slots_);
    std::uint64_t committed = 0;
    std::vector<credit_request> requests;
    for (const auto& [epoch, s] : sessions_)
    {
        credit_request request;
        request.epoch = epoch;
        std::uint64_t unused = s.limit > s.received ? s.limit - s.received : 0;
        if (has_floor && s.open && s.unfinished == 0)
        {
            // One unused credit of an idle session is its minimum and doesn't reduce the capacity
            // that is divided among the sessions.
            request.floor = unused == 0 ? 1 : 0;
            unused += request.floor;
            committed += unused - 1;
        }
        else
        {
            committed += unused + s.unfinished;
        }
        request.wanted = s.demand > unused ? s.demand - unused : 0;
        requests.push_back(request);
    }
    const std::uint64_t capacity = std::uint64_t{slots_} + prefetch_;
    divide_proportionally(capacity > committed ? capacity - committed : 0, requests);
    std::sort(requests.begin(), requests.end(),
              [](const auto& a, const auto& b) { return a.epoch < b.epoch; });
    std::vector<credit_change> changes;
    for (const auto& it : requests)
    {
        if (it.floor + it.granted > 0)
        {
            session& s = sessions_[it.epoch];
            s.limit += it.floor + it.granted;
            changes.push_back({it.epoch, s.limit});
        }
    }
    return changes;
}

} // namespace savoryreach::agent
