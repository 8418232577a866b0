#include "tools/load/core_driver.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace savoryreach::load
{
namespace
{

/// Jobs get this long after the last arrival to end.
constexpr double drain_s = 60;
/// Request ids of cancellations; those of jobs are below.
constexpr std::uint64_t first_cancel = std::uint64_t{1} << 40U;

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& it)
    {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// One run: schedules the arrivals and takes the answers.
class core_run
{
public:
    core_run(const std::vector<planned_job>& plan, const workload_options& workload,
             const cluster_options& options, const fleet& endpoints)
        : plan_(plan), workload_(workload), entries_(options.entries),
          random_(workload.seed * 15485863 + 4),
          cluster_(options, endpoints,
                   [this](std::uint64_t request, const schema::job_answer& answer)
                   { answered(request, answer); })
    {
        result_.jobs.resize(plan.size());
    }

    std::optional<run_result> run()
    {
        if (!cluster_.run_until_ready())
        {
            return std::nullopt;
        }
        cluster_.reset_counts();
        const double began = processor_seconds();
        start_ = cluster_.now();
        schedule_arrival(0);
        const auto end = start_ + absl::Seconds(workload_.duration_s);
        cluster_.run_until(end);
        // Counted over the arrivals only; the tail of a run is idle.
        cluster_.collect(result_);
        while (answers_ < plan_.size() && cluster_.now() < end + absl::Seconds(drain_s))
        {
            cluster_.run_until(cluster_.now() + absl::Milliseconds(100));
        }
        result_.processor_s = processor_seconds() - began;
        run_result all;
        cluster_.collect(all);
        result_.double_starts = all.double_starts;
        result_.stages = all.stages;
        return std::move(result_);
    }

private:
    void schedule_arrival(std::size_t number)
    {
        if (number >= plan_.size())
        {
            return;
        }
        cluster_.events().at(start_ + absl::Seconds(plan_[number].arrival_s),
                             [this, number]
                             {
                                 arrive(number);
                                 schedule_arrival(number + 1);
                             });
    }

    void arrive(std::size_t number)
    {
        const auto& job = plan_[number];
        const auto submission = to_submission(job);
        const auto first = random_.below(entries_);
        for (std::size_t copy = 0; copy < workload_.copies; ++copy)
        {
            cluster_.submit((first + copy) % entries_, number + copy * plan_.size(), submission);
        }
        if (job.cancel_at_s >= 0)
        {
            cluster_.events().at(start_ + absl::Seconds(job.cancel_at_s), [this, number]
                                 { cluster_.cancel(0, first_cancel + number, plan_[number].id); });
        }
    }

    void answered(std::uint64_t request, const schema::job_answer& answer)
    {
        if (request >= first_cancel)
        {
            return;
        }
        const auto number = request % plan_.size();
        auto& it = result_.jobs[number];
        if (std::exchange(it.is_answered, true))
        {
            return;
        }
        ++answers_;
        it.is_complete = answer.state() == schema::job_state_complete;
        it.error = base::error_kind_from(answer.error_kind());
        it.tasks_started = answer.tasks_started();
        it.response_s = absl::ToDoubleSeconds(cluster_.now() - start_) - plan_[number].arrival_s;
    }

    const std::vector<planned_job>& plan_;
    const workload_options& workload_;
    std::size_t entries_;
    base::seeded_random random_;
    run_result result_;
    virtual_cluster cluster_;
    absl::Time start_;
    std::size_t answers_ = 0;
};

} // namespace

std::optional<run_result> run_cores(const std::vector<planned_job>& plan,
                                    const workload_options& workload,
                                    const cluster_options& cluster, const fleet& endpoints)
{
    return core_run(plan, workload, cluster, endpoints).run();
}

} // namespace savoryreach::load
