#include "savoryreach/agent/slot_table.hpp"

#include <algorithm>
#include <cassert>

namespace savoryreach::agent
{

void slot_table::add_waiting(waiting_start start)
{
    const queue_key key{-static_cast<std::int64_t>(start.start.urgency()), ++last_arrival_};
    waiting_.emplace(key, std::move(start));
}

bool slot_table::is_waiting(const base::attempt_id& id) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&id](const auto& item) { return item.second.id == id; });
}

std::vector<waiting_start>
slot_table::remove_waiting(absl::FunctionRef<bool(const waiting_start&)> matches)
{
    std::vector<waiting_start> removed;
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (matches(it->second))
        {
            removed.push_back(std::move(it->second));
            it = waiting_.erase(it);
        }
        else
        {
            ++it;
        }
    }
    return removed;
}

std::optional<waiting_start> slot_table::pop_next()
{
    if (waiting_.empty() || running_.size() >= slots_)
    {
        return std::nullopt;
    }
    auto next = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    return next;
}

void slot_table::add_running(std::uint64_t run_id, running_start start)
{
    assert(running_.size() < slots_);
    const bool is_new = running_.emplace(run_id, std::move(start)).second;
    assert(is_new);
    static_cast<void>(is_new);
}

std::optional<running_start> slot_table::remove_running(std::uint64_t run_id)
{
    const auto it = running_.find(run_id);
    if (it == running_.end())
    {
        return std::nullopt;
    }
    auto removed = std::move(it->second);
    running_.erase(it);
    return removed;
}

void slot_table::for_each_running(
    absl::FunctionRef<void(std::uint64_t run_id, running_start&)> visit)
{
    for (auto& [run_id, start] : running_)
    {
        visit(run_id, start);
    }
}

std::size_t slot_table::running_of(std::uint64_t epoch) const
{
    return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(),
                                                  [epoch](const auto& item) {
                                                      return item.second.epoch == epoch &&
                                                             !item.second.is_abandoned;
                                                  }));
}

} // namespace savoryreach::agent
