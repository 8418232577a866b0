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

struct candidate
{
    endpoint* place = nullptr;
    absl::Duration time = absl::InfiniteDuration();
};

/// The task that is to be placed.
struct wanted_place
{
    const job& owner;
    const step& of;
    const task& what;
    std::uint32_t step_number;
    absl::Time now;
};

/// The endpoint with at least \p free_milli free that \p is_fit takes and where the task ends
/// first. Looks at few of them: they come fastest first, and only those on the data's rack may be
/// better than one before.
template <typename Fit>
candidate find_best(const endpoint_ranking& ranking, const speed_model& speeds,
                    const wanted_place& wanted, std::int64_t free_milli, Fit is_fit)
{
    const auto& rack = wanted.of.spec.preferred_rack();
    candidate best;
    for (auto rank = ranking.first_with_room(free_milli, 0); rank != endpoint_ranking::none;
         rank = ranking.first_with_room(free_milli, rank + 1))
    {
        auto& it = ranking.at(rank);
        if (!is_eligible(it, wanted.owner, wanted.of, wanted.what) || !is_fit(it))
        {
            continue;
        }
        const auto time = speeds.expected(it.host, wanted.owner.queue.name(), wanted.of.declared);
        if (time >= best.time)
        {
            break;
        }
        const bool is_near = rack.empty() || has_label(it, rack);
        if (is_near || time * remote_factor < best.time)
        {
            best = {&it, is_near ? time : time * remote_factor};
        }
        if (is_near)
        {
            break;
        }
    }
    return best;
}

} // namespace

placement choose_endpoint(const placement_index& index, const speed_model& speeds, const job& owner,
                          const step& of, const task& what, std::uint32_t step_number,
                          absl::Time now)
{
    const auto* ranking = index.find(owner.queue.service());
    if (ranking == nullptr)
    {
        return {nullptr, true};
    }
    const wanted_place wanted{owner, of, what, step_number, now};
    const auto best = find_best(*ranking, speeds, wanted, of.takes.cpu_milli,
                                [&](const endpoint& it)
                                { return has_free_place(it, owner, of, step_number, now); });
    if (best.place == nullptr)
    {
        return {nullptr, true};
    }
    const auto fastest =
        find_best(*ranking, speeds, wanted, INT64_MIN,
                  [&](const endpoint& it) { return it.health.allowed_runs(now) > 1; });
    const auto left = owner.objective_at - now - overhead;
    // Half of the spare time may be spent on waiting for a faster endpoint.
    if (best.time > left && (left - fastest.time) > (best.time - fastest.time) / 2)
    {
        return {nullptr, false};
    }
    return {best.place, false};
}

} // namespace savoryreach::dispatch
