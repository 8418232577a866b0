#include "savoryreach/dispatch/placement.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Time from the decision to the start plus the time from the end to the answer: four one-way
/// network delays and the processing between them.
constexpr absl::Duration overhead = absl::Milliseconds(12);

bool has_label(const endpoint& it, const std::string& label)
{
    return std::ranges::find(it.labels, label) != it.labels.end();
}

std::size_t runs_of_step(const endpoint& it, std::uint64_t job, std::uint32_t step)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(it.runs, [&](const auto& entry)
                              { return entry.first.job == job && entry.first.step == step; }));
}

bool can_start_now(const endpoint& it, const job& owner, const job_step& step,
                   std::uint32_t step_number, absl::Time now)
{
    const auto limit = step.spec.max_per_endpoint();
    return it.has_capacity_for(step.demand) && it.runs.size() < it.health.allowed_runs(now) &&
           (limit == 0 || runs_of_step(it, owner.id, step_number) < limit);
}

struct candidate
{
    endpoint* target = nullptr;
    absl::Duration time = absl::InfiniteDuration();
};

/// The task to place.
struct placement_request
{
    const job& owner;
    const job_step& step;
    const job_task& task;
    std::uint32_t step_number;
    absl::Time now;
    double remote_factor; ///< of a run on a rack that does not hold the data
};

/// Finds the endpoint with at least \p free_milli free cores (in thousandths) that satisfies
/// \p is_fit and on which the task ends first. Visits few endpoints, since they are ordered by
/// speed and only one on the rack of the data can be better than an earlier one.
template <typename Fit>
candidate find_best(const endpoint_ranking& ranking, const speed_model& speeds,
                    const placement_request& wanted, std::int64_t free_milli, Fit is_fit)
{
    const auto& rack = wanted.step.spec.preferred_rack();
    candidate best;
    for (auto rank = ranking.first_with_free_cpu(free_milli, 0); rank != endpoint_ranking::none;
         rank = ranking.first_with_free_cpu(free_milli, rank + 1))
    {
        auto& it = ranking.at(rank);
        if (!is_eligible(it, wanted.owner, wanted.step, wanted.task) || !is_fit(it))
        {
            continue;
        }
        const auto time = speeds.expected(it.host, wanted.owner.queue.name(), wanted.step.declared);
        if (time >= best.time)
        {
            break;
        }
        const bool is_near = rack.empty() || has_label(it, rack);
        if (is_near || time * wanted.remote_factor < best.time)
        {
            best = {&it, is_near ? time : time * wanted.remote_factor};
        }
        if (is_near)
        {
            break;
        }
    }
    return best;
}

} // namespace

bool is_eligible(const endpoint& it, const job& owner, const job_step& step, const job_task& task)
{
    return it.is_usable() && it.service == owner.queue.service() &&
           (step.spec.required_label().empty() || has_label(it, step.spec.required_label())) &&
           std::ranges::find(task.avoided, it.host) == task.avoided.end();
}

placement choose_endpoint(const placement_index& index, const speed_model& speeds, const job& owner,
                          const job_step& step, const job_task& task, std::uint32_t step_number,
                          absl::Time now, const dispatcher_options& options,
                          const reservation_plan* reservations, const task_id& id)
{
    const auto* ranking = index.find(owner.queue.service());
    if (ranking == nullptr)
    {
        return {nullptr, true};
    }
    const placement_request wanted{owner, step, task, step_number, now, options.remote_factor};
    const auto best = find_best(
        *ranking, speeds, wanted, step.demand.cpu_milli,
        [&](const endpoint& it)
        {
            return can_start_now(it, owner, step, step_number, now) &&
                   (reservations == nullptr || reservations->empty() ||
                    reservations->allows(
                        it, id, step.demand,
                        now + speeds.expected(it.host, owner.queue.name(), step.declared)));
        });
    if (best.target == nullptr)
    {
        return {nullptr, true};
    }
    const auto fastest =
        find_best(*ranking, speeds, wanted, INT64_MIN,
                  [&](const endpoint& it) { return it.health.allowed_runs(now) > 1; });
    const auto left = owner.objective_at - now - overhead;
    // At most half of the spare time may be spent on waiting for a faster endpoint.
    if (best.time > left && (left - fastest.time) > (best.time - fastest.time) / 2)
    {
        return {nullptr, false};
    }
    return {best.target, false};
}

} // namespace savoryreach::dispatch
