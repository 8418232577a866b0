#include "savoryreach/dispatch/room_forecast.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::dispatch
{
namespace
{

/// Expected remaining time of a run that has passed its estimate, as a share of its time so far.
constexpr double overdue_share = 0.5;

} // namespace

absl::Time expected_end(const task_run& run, const std::string& host, const speed_model& speeds,
                        absl::Time now)
{
    const auto began_at = run.is_confirmed() ? run.confirmed_at : run.sent_at;
    const auto length = run.has_progress() && run.projected_time > absl::ZeroDuration()
                            ? run.projected_time
                            : speeds.expected(host, run.queue, run.declared);
    const auto end = began_at + length;
    return end > now ? end : now + (now - began_at) * overdue_share;
}

room_forecast::room_forecast(const endpoint& it, const speed_model& speeds, absl::Time now)
{
    std::vector<std::pair<absl::Time, const resources*>> ends;
    ends.reserve(it.runs.size());
    for (const auto& [id, run] : it.runs)
    {
        ends.emplace_back(expected_end(run, it.host, speeds, now), &run.demand);
    }
    std::ranges::sort(ends);
    resources free{it.capacity.cpu_milli - it.used.cpu_milli,
                   it.capacity.memory_mb - it.used.memory_mb, it.capacity.gpu - it.used.gpu};
    levels_.reserve(ends.size() + 1);
    levels_.push_back({now, free});
    for (const auto& [at, freed] : ends)
    {
        free.cpu_milli += freed->cpu_milli;
        free.memory_mb += freed->memory_mb;
        free.gpu += freed->gpu;
        levels_.push_back({at, free});
    }
}

absl::Time room_forecast::when_free(const resources& demand) const
{
    // Room only grows, since the forecast knows no further starts.
    const auto it = std::ranges::partition_point(levels_, [&demand](const level& each)
                                                 { return !demand.fits_into(each.free); });
    return it == levels_.end() ? absl::InfiniteFuture() : it->from;
}

resources room_forecast::free_at(absl::Time at) const
{
    const auto after = std::ranges::upper_bound(levels_, at, {}, &level::from);
    return after == levels_.begin() ? levels_.front().free : std::prev(after)->free;
}

} // namespace savoryreach::dispatch
