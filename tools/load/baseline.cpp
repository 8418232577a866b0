#include "tools/load/baseline.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>

namespace savoryreach::load
{
namespace
{

constexpr double failing_run_s = 0.005;

using free_times = std::priority_queue<double, std::vector<double>, std::greater<>>;

/// The slots of all endpoints with the times when they become free.
class slot_model
{
public:
    explicit slot_model(const fleet& endpoints) : endpoints_(endpoints.endpoints())
    {
        for (const auto& it : endpoints_)
        {
            free_.emplace_back(std::greater<>(), std::vector<double>(it.slots, 0.0));
        }
    }

    [[nodiscard]] std::size_t size() const { return endpoints_.size(); }
    [[nodiscard]] const endpoint_spec& spec(std::size_t endpoint) const
    {
        return endpoints_[endpoint];
    }
    /// When a task that arrives at \p at would end there.
    [[nodiscard]] double end_at(std::size_t endpoint, double at, double work) const
    {
        const double run =
            endpoints_[endpoint].failing ? failing_run_s : work / endpoints_[endpoint].speed;
        return std::max(at, free_[endpoint].top()) + run;
    }
    double run(std::size_t endpoint, double at, double work)
    {
        const double end = end_at(endpoint, at, work);
        free_[endpoint].pop();
        free_[endpoint].push(end);
        return end;
    }

private:
    const std::vector<endpoint_spec>& endpoints_;
    std::vector<free_times> free_; ///< by endpoint
};

std::size_t earliest(const slot_model& slots, double at, double work)
{
    std::size_t best = slots.size();
    for (std::size_t i = 0; i < slots.size(); ++i)
    {
        if (!slots.spec(i).failing &&
            (best == slots.size() || slots.end_at(i, at, work) < slots.end_at(best, at, work)))
        {
            best = i;
        }
    }
    return best;
}

} // namespace

run_result run_simple(simple_policy policy, const std::vector<planned_job>& plan,
                      const cluster_options& cluster, const fleet& endpoints)
{
    const bool is_random = policy == simple_policy::random_fifo;
    base::seeded_random random(cluster.seed);
    slot_model slots(endpoints);
    run_result result;
    result.jobs.resize(plan.size());
    for (std::size_t n = 0; n < plan.size(); ++n)
    {
        auto work = plan[n].work;
        std::ranges::sort(work, std::greater<>());
        const auto entry = random.below(cluster.entries) % cluster.data_centres;
        double end = 0;
        bool failed = false;
        for (const double it : work)
        {
            const auto chosen =
                is_random ? random.below(slots.size()) : earliest(slots, plan[n].arrival_s, it);
            const auto& spec = slots.spec(chosen);
            const auto delay =
                spec.data_centre == entry ? cluster.delay_inside : cluster.delay_between;
            const double way = is_random ? absl::ToDoubleSeconds(delay) : 0;
            end = std::max(end, slots.run(chosen, plan[n].arrival_s + way, it) + way);
            failed = failed || spec.failing;
            ++result.starts;
            result.messages.session += 2;
        }
        auto& job = result.jobs[n];
        job.is_answered = true;
        job.response_s = end - plan[n].arrival_s;
        job.is_complete = !failed && job.response_s * 1000 <= plan[n].budget_ms;
        job.error = failed            ? base::error_kind::task_failed
                    : job.is_complete ? base::error_kind::none
                                      : base::error_kind::deadline_passed;
    }
    result.started_tasks = result.starts;
    return result;
}

} // namespace savoryreach::load
