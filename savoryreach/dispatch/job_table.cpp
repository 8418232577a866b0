#include "savoryreach/dispatch/job_table.hpp"

#include <algorithm>
#include <cassert>
#include <string_view>

namespace savoryreach::dispatch
{
namespace
{

constexpr double milli = 1000.0;
/// Run time on the fastest endpoints, relative to one of speed 1: endpoints take 0.6 to 1.7 times
/// the declared time.
constexpr double fastest_time_factor = 0.6;

bool has_waiting_task(const job& it)
{
    return std::ranges::any_of(it.steps, [](const job_step& step) { return step.waiting > 0; });
}

} // namespace

double task_work(const job_step& step)
{
    return static_cast<double>(step.demand.cpu_milli) / milli *
           absl::ToDoubleSeconds(step.declared);
}

double waiting_work(const job& it)
{
    double sum = 0.0;
    for (const auto& step : it.steps)
    {
        sum += task_work(step) * static_cast<double>(step.waiting);
    }
    return sum;
}

bool can_meet_objective(const job& it, absl::Time now)
{
    return now + it.critical_path * fastest_time_factor <= it.objective_at;
}

job& job_table::add(job it)
{
    const auto id = it.id;
    auto& slot = jobs_[id];
    assert(!slot);
    slot = std::make_unique<job>(std::move(it));
    waiting_work_of(*slot) += waiting_work(*slot);
    if (has_waiting_task(*slot))
    {
        waiting_.insert({slot->order_time(), id});
    }
    return *slot;
}

job* job_table::find(std::uint64_t id)
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

job* job_table::find(const std::string& host, const std::string& path)
{
    std::uint64_t id = 0;
    const auto prefix =
        std::string_view(path).substr(0, path.size() - std::min(path.size(), job_id_digits));
    auto* it = parse_job_id(path, prefix, id) ? find(id) : nullptr;
    return it != nullptr && it->has_address(host, path) ? it : nullptr;
}

void job_table::remove(std::uint64_t id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
    {
        return;
    }
    auto& work = waiting_work_of(*it->second);
    work = std::max(0.0, work - waiting_work(*it->second));
    waiting_.erase({it->second->order_time(), id});
    jobs_.erase(it);
    if (waiting_.empty())
    {
        work_waiting_ = deferred_work_ = 0.0; // removes accumulated rounding errors
    }
}

void job_table::clear()
{
    jobs_.clear();
    waiting_.clear();
    work_waiting_ = deferred_work_ = 0.0;
}

void job_table::adjust_waiting(job& it, job_step& step, int n)
{
    assert(n >= 0 || step.waiting >= static_cast<std::size_t>(-n));
    step.waiting += static_cast<std::size_t>(n);
    auto& work = waiting_work_of(it);
    work = std::max(0.0, work + task_work(step) * n);
    if (has_waiting_task(it))
    {
        waiting_.insert({it.order_time(), it.id});
    }
    else
    {
        waiting_.erase({it.order_time(), it.id});
    }
}

std::vector<std::uint64_t> job_table::waiting_order(absl::Time now) const
{
    std::vector<std::uint64_t> out;
    std::vector<std::uint64_t> late;
    out.reserve(waiting_.size());
    for (const auto& [at, id] : waiting_)
    {
        const auto& it = *jobs_.at(id);
        const bool is_late = !it.started && !it.adopted && !can_meet_objective(it, now);
        (is_late ? late : out).push_back(id);
    }
    out.insert(out.end(), late.begin(), late.end());
    return out;
}

double job_table::work_ahead(absl::Time order_time) const
{
    double sum = 0.0;
    for (const auto& [at, id] : waiting_)
    {
        if (at > order_time)
        {
            break;
        }
        const auto& it = *jobs_.at(id);
        sum += it.deferred ? 0.0 : waiting_work(it);
    }
    return sum;
}

std::size_t job_table::count_unstarted(const std::string& queue) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(jobs_, [&queue](const auto& it)
                              { return !it.second->started && it.second->queue.name() == queue; }));
}

} // namespace savoryreach::dispatch
