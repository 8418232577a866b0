#include "savoryreach/dispatch/placement.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Time from the decision to the start and from the end to the answer: four one-way delays and the
/// processing between.
constexpr absl::Duration overhead = absl::Milliseconds(12);
/// Runs on a rack without the data take up to this many times as long by the declared bounds.
constexpr double remote_factor = 2.0;

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

/// True when the endpoint may run the task at all, whatever runs there now.
bool is_eligible(const endpoint& it, const job& owner, const step& of, const task& what)
{
    return it.is_usable() && it.service == owner.queue.service() &&
           (of.spec.required_label().empty() || has_label(it, of.spec.required_label())) &&
           std::ranges::find(what.avoided, it.host) == what.avoided.end();
}

bool has_free_place(const endpoint& it, const job& owner, const step& of, std::uint32_t step_number,
                    absl::Time now)
{
    const auto limit = of.spec.max_per_endpoint();
    return it.has_room(of.takes) && it.runs.size() < it.health.allowed_runs(now) &&
           (limit == 0 || runs_of_step(it, owner.id, step_number) < limit);
}

} // namespace

placement choose_endpoint(endpoint_table& table, const speed_model& speeds, const job& owner,
                          const step& of, const task& what, std::uint32_t step_number,
                          absl::Time now)
{
    endpoint* best = nullptr;
    absl::Duration best_time = absl::InfiniteDuration();
    absl::Duration fastest = absl::InfiniteDuration();
    for (auto& [host, it] : table.all())
    {
        if (!is_eligible(*it, owner, of, what))
        {
            continue;
        }
        auto time = speeds.expected(host, owner.queue.name(), of.declared);
        if (!of.spec.preferred_rack().empty() && !has_label(*it, of.spec.preferred_rack()))
        {
            time *= remote_factor;
        }
        if (it->health.allowed_runs(now) > 1)
        {
            fastest = std::min(fastest, time);
        }
        if (has_free_place(*it, owner, of, step_number, now) &&
            (time < best_time || (time == best_time && it->used < best->used)))
        {
            best = it.get();
            best_time = time;
        }
    }
    if (best == nullptr)
    {
        return {nullptr, true};
    }
    const auto left = owner.objective_at - now - overhead;
    // Half of the spare time may be spent on waiting for a faster endpoint.
    if (best_time > left && (left - fastest) > (best_time - fastest) / 2)
    {
        return {nullptr, false};
    }
    return {best, false};
}

} // namespace savoryreach::dispatch
