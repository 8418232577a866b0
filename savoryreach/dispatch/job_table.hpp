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

/// The accepted jobs that have not ended, and the order in which their tasks start: by objective
/// (earliest deadline first), so that a job with little spare time precedes one that can wait.
class job_table
{
public:
    using order_key = std::pair<absl::Time, std::uint64_t>; ///< objective and id

    job& add(job it);
    [[nodiscard]] job* find(std::uint64_t id);
    void remove(std::uint64_t id);
    void clear();

    /// Adds \p n to the number of the step's waiting tasks; \p n may be negative.
    void adjust_waiting(job& it, job_step& step, int n);
    /// Ids of jobs with waiting tasks in the order in which they start: by objective, but jobs that
    /// can no longer meet their objective come after all that can.
    [[nodiscard]] std::vector<std::uint64_t> waiting_order(absl::Time now) const;

    /// Core-seconds of the waiting tasks of jobs that precede one with \p objective_at.
    [[nodiscard]] double work_ahead(absl::Time objective_at) const;
    [[nodiscard]] double work_waiting() const { return work_waiting_; }
    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    /// Number of jobs of a queue without a started task.
    [[nodiscard]] std::size_t count_unstarted(const std::string& queue) const;

    [[nodiscard]] const absl::btree_map<std::uint64_t, std::unique_ptr<job>>& all() const
    {
        return jobs_;
    }

private:
    absl::btree_map<std::uint64_t, std::unique_ptr<job>> jobs_;
    absl::btree_set<order_key> waiting_; ///< jobs with waiting tasks
    double work_waiting_ = 0.0;          ///< core-seconds
};

/// Core-seconds of one task of a step, by its declared time.
[[nodiscard]] double task_work(const job_step& step);

} // namespace savoryreach::dispatch

#endif
