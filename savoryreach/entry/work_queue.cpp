#include "savoryreach/entry/work_queue.hpp"

#include <cassert>

namespace savoryreach::entry
{
namespace
{

template <typename Map, typename Key>
void change_count(Map& counts, const Key& key, std::int64_t change)
{
    auto& n = counts[key];
    n += static_cast<typename Map::mapped_type>(change);
    if (n == 0)
    {
        counts.erase(key);
    }
}

template <typename Map, typename Key>
auto count_of(const Map& counts, const Key& key)
{
    const auto it = counts.find(key);
    return it != counts.end() ? it->second : typename Map::mapped_type{};
}

} // namespace

void work_queue::count(const job& it, std::int64_t change)
{
    if (change == 0)
    {
        return;
    }
    const auto& kind = it.submission.kind();
    waiting_ += static_cast<std::size_t>(change);
    change_count(by_kind_, kind, change);
    change_count(by_team_, std::pair(kind, it.submission.team()), change);
}

void work_queue::reserve(job& it)
{
    count(it, it.waiting);
}

void work_queue::start(job& it)
{
    if (it.waiting == 0)
    {
        return;
    }
    assert(!queued_.contains(it.number));
    queued_[it.number] = it.waiting;
    queue_.add(queued_job{it.number, it.submission.kind(), it.submission.team(),
                          it.submission.urgency(), it.waiting, it.answer_by});
}

void work_queue::requeue(job& it)
{
    ++it.waiting;
    count(it, 1);
    if (queued_.contains(it.number))
    {
        queue_.requeue(it.number, 1);
    }
    else
    {
        start(it);
    }
}

void work_queue::remove(job& it)
{
    count(it, -static_cast<std::int64_t>(it.waiting));
    it.waiting = 0;
    if (queued_.erase(it.number) > 0)
    {
        queue_.remove(it.number);
    }
}

void work_queue::clear()
{
    for (const auto& [number, n] : queued_)
    {
        queue_.remove(number);
    }
    queued_.clear();
    waiting_ = 0;
    by_kind_.clear();
    by_team_.clear();
    slots_.clear();
}

void work_queue::task_sent(job& it)
{
    assert(it.waiting > 0);
    --it.waiting;
    count(it, -1);
    ++slots_[it.submission.team()];
}

void work_queue::task_skipped(job& it, absl::Duration charged)
{
    queue_.release_slot(it.submission.kind(), it.submission.team(), charged, absl::ZeroDuration());
    queue_.requeue(it.number, 1);
}

void work_queue::attempt_ended(const job& it, absl::Duration charged, absl::Duration observed)
{
    queue_.release_slot(it.submission.kind(), it.submission.team(), charged, observed);
    change_count(slots_, it.submission.team(), -1);
}

std::size_t work_queue::waiting(const std::string& kind) const
{
    return count_of(by_kind_, kind);
}

std::size_t work_queue::waiting(const std::string& kind, const std::string& team) const
{
    return count_of(by_team_, std::pair(kind, team));
}

std::uint32_t work_queue::slots_of(const std::string& team) const
{
    return count_of(slots_, team);
}

} // namespace savoryreach::entry
