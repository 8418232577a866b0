#ifndef SAVORYREACH_DISPATCH_JOB_TABLE_HPP
#define SAVORYREACH_DISPATCH_JOB_TABLE_HPP

#include "savoryreach/dispatch/job.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::dispatch
{

/// The accepted jobs that have not ended, and the order in which their tasks start, by objective
/// (earliest deadline first), so that a job with little spare time precedes one that can wait. Jobs
/// of a queue with a later priority are ordered by a later time.
class job_table
{
public:
    using order_key = std::pair<absl::Time, std::uint64_t>; ///< order_time() and id

    job& add(job it);
    [[nodiscard]] job* find(std::uint64_t id);
    /// The job whose requests have this host and path.
    [[nodiscard]] job* find(const std::string& host, const std::string& path);
    void remove(std::uint64_t id);
    void clear();

    /// Adds \p n to the number of the step's waiting tasks; \p n may be negative.
    void adjust_waiting(job& it, job_step& step, int n);
    /// Ids of jobs with waiting tasks in the order in which they start, but jobs that
    /// can no longer meet their objective come after all that can.
    [[nodiscard]] std::vector<std::uint64_t> waiting_order(absl::Time now) const;

    /// Core-seconds of the waiting tasks of jobs that precede one with \p order_time.
    [[nodiscard]] double work_ahead(absl::Time order_time) const;
    /// Core-seconds of the waiting tasks. Those of deferred jobs are counted separately, since they
    /// start after all others.
    [[nodiscard]] double work_waiting() const { return work_waiting_; }
    [[nodiscard]] double deferred_work() const { return deferred_work_; }
    [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }
    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    /// Number of jobs of a queue without a started task.
    [[nodiscard]] std::size_t count_unstarted(const std::string& queue) const;

    [[nodiscard]] const absl::btree_map<std::uint64_t, std::unique_ptr<job>>& all() const
    {
        return jobs_;
    }

private:
    double& waiting_work_of(const job& it) { return it.deferred ? deferred_work_ : work_waiting_; }

    absl::btree_map<std::uint64_t, std::unique_ptr<job>> jobs_;
    absl::btree_set<order_key> waiting_; ///< jobs with waiting tasks
    double work_waiting_ = 0.0;          ///< core-seconds, without those of deferred jobs
    double deferred_work_ = 0.0;
};

/// Core-seconds of one task of a step, by its declared time.
[[nodiscard]] double task_work(const job_step& step);
/// Core-seconds of the job's waiting tasks.
[[nodiscard]] double waiting_work(const job& it);
/// True if a job that starts at \p now on the fastest endpoints can meet its objective.
[[nodiscard]] bool can_meet_objective(const job& it, absl::Time now);

} // namespace savoryreach::dispatch

#endif
