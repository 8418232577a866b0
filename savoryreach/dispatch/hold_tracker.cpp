#include "savoryreach/dispatch/hold_tracker.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// An endpoint counts as silent after this many calls in a row without an answer, and not before
/// this time has passed since its latest answer. One lost call in sixteen leaves one in 4,000 for a
/// series of three.
constexpr std::uint32_t min_unanswered_calls = 3;
constexpr absl::Duration min_silence = absl::Milliseconds(200);
/// Time allowed for the answer to a call that another has overtaken.
constexpr absl::Duration overtaken_grace = absl::Milliseconds(40);
/// Time for which calls are expected to be lost after one was.
constexpr absl::Duration loss_memory = absl::Seconds(3);

} // namespace

std::uint64_t hold_tracker::add(absl::Time now, absl::Time due_at)
{
    calls_.push_back({++last_number_, now, due_at, false});
    return last_number_;
}

std::optional<hold_tracker::outstanding_call> hold_tracker::remove(std::uint64_t number)
{
    const auto it = std::ranges::find(calls_, number, &outstanding_call::number);
    if (it == calls_.end())
    {
        return std::nullopt;
    }
    const auto removed = *it;
    calls_.erase(it);
    return removed;
}

void hold_tracker::on_new_end(absl::Time now, absl::Duration margin)
{
    for (auto& it : calls_)
    {
        it.due_at = std::min(it.due_at, now + margin);
    }
}

std::size_t hold_tracker::expire(absl::Time now)
{
    std::size_t n = 0;
    for (auto& it : calls_)
    {
        if (!it.lost && now >= it.due_at)
        {
            it.lost = true;
            ++n;
        }
    }
    return n;
}

void hold_tracker::postpone(absl::Time due_at)
{
    for (auto& it : calls_)
    {
        it.due_at = std::max(it.due_at, due_at);
    }
}

std::size_t hold_tracker::live(absl::Time since) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        calls_, [since](const auto& it) { return !it.lost && it.sent_at >= since; }));
}

absl::Time hold_tracker::next_due() const
{
    auto next = absl::InfiniteFuture();
    for (const auto& it : calls_)
    {
        next = it.lost ? next : std::min(next, it.due_at);
    }
    return next;
}

void endpoint_contact::on_answer(absl::Time now)
{
    unanswered_ = 0;
    answered_at_ = now;
}

void endpoint_contact::on_loss(absl::Time now)
{
    ++unanswered_;
    loss_seen_at_ = now;
}

void endpoint_contact::on_overtaken(const task_id& task, absl::Time now)
{
    overtaken_.push_back({task, now + overtaken_grace});
}

void endpoint_contact::on_late_answer(const task_id& task)
{
    std::erase_if(overtaken_, [&task](const auto& it) { return it.task == task; });
}

void endpoint_contact::expire(absl::Time now)
{
    const auto n = std::erase_if(overtaken_, [now](const auto& it) { return now >= it.due_at; });
    loss_seen_at_ = n > 0 ? now : loss_seen_at_;
}

bool endpoint_contact::is_silent(absl::Time now) const
{
    return unanswered_ >= min_unanswered_calls && now >= answered_at_ + min_silence;
}

bool endpoint_contact::loses_calls(absl::Time now) const
{
    return now < loss_seen_at_ + loss_memory;
}

} // namespace savoryreach::dispatch
