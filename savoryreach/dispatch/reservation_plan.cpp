#include "savoryreach/dispatch/reservation_plan.hpp"

#include "savoryreach/dispatch/placement.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::dispatch
{
namespace
{

/// A claim expires when the task has waited this many times its first planned wait, and the margin.
constexpr double max_wait_factor = 3.0;
constexpr absl::Duration max_wait_margin = absl::Milliseconds(200);

/// At most one endpoint in so many is reserved, since room stands idle on each.
constexpr std::size_t share_divisor = 8;

} // namespace

void reservation_plan::refresh()
{
    by_endpoint_.clear();
    by_task_.clear();
    forecasts_.clear();
    searches_ = 0;
    absl::erase_if(claims_, [](auto& entry) { return !std::exchange(entry.second.asked, false); });
}

void reservation_plan::clear()
{
    refresh();
    claims_.clear();
}

const room_forecast& reservation_plan::forecast_of(const endpoint& it, const speed_model& speeds,
                                                   absl::Time now)
{
    return forecasts_.try_emplace(&it, it, speeds, now).first->second;
}

std::optional<reserved_room> reservation_plan::reserve(const task_id& id, const job& owner,
                                                       const job_step& step,
                                                       const endpoint_ranking& ranking,
                                                       const speed_model& speeds, absl::Time now)
{
    const auto known = claims_.find(id);
    if (known != claims_.end())
    {
        known->second.asked = true;
    }
    if (searches_ >= max_reservations || by_task_.contains(id) ||
        (known != claims_.end() && now >= known->second.expires_at))
    {
        return std::nullopt;
    }
    const auto reserved =
        std::ranges::count_if(by_endpoint_, [&owner](const auto& entry)
                              { return entry.first->service == owner.queue.service(); });
    if (static_cast<std::size_t>(reserved) >=
        std::max<std::size_t>(1, ranking.size() / share_divisor))
    {
        return std::nullopt;
    }
    ++searches_;
    const auto& task = step.tasks[id.index];
    const endpoint* best = nullptr;
    auto best_start = absl::InfiniteFuture();
    auto best_end = absl::InfiniteFuture();
    for (std::size_t rank = 0; rank < ranking.size(); ++rank)
    {
        const auto& it = ranking.at(rank);
        if (by_endpoint_.contains(&it) || !is_eligible(it, owner, step, task) ||
            it.health.allowed_runs(now) <= 1)
        {
            continue;
        }
        const auto start_at = forecast_of(it, speeds, now).when_free(step.demand);
        const auto end = start_at + speeds.expected(it.host, owner.queue.name(), step.declared);
        if (end < best_end)
        {
            best = &it;
            best_start = start_at;
            best_end = end;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    if (known == claims_.end())
    {
        claims_[id] = {best_start + (best_start - now) * (max_wait_factor - 1.0) + max_wait_margin};
    }
    auto spare = forecast_of(*best, speeds, now).free_at(best_start);
    spare -= step.demand;
    by_endpoint_[best] = {id, best_start, spare};
    by_task_[id] = best;
    return reserved_room{best->host, best_start};
}

bool reservation_plan::allows(const endpoint& it, const task_id& id, const resources& demand,
                              absl::Time end) const
{
    const auto found = by_endpoint_.find(&it);
    return found == by_endpoint_.end() || found->second.task == id ||
           end <= found->second.start_at || demand.fits_into(found->second.spare);
}

void reservation_plan::on_start(const endpoint& it, const task_id& id, const resources& demand,
                                absl::Time end)
{
    forecasts_.erase(&it);
    if (const auto own = by_task_.find(id); own != by_task_.end())
    {
        by_endpoint_.erase(own->second);
        by_task_.erase(own);
        claims_.erase(id);
    }
    if (const auto found = by_endpoint_.find(&it);
        found != by_endpoint_.end() && end > found->second.start_at)
    {
        found->second.spare -= demand;
    }
}

} // namespace savoryreach::dispatch
