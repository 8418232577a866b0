#ifndef SAVORYREACH_ENTRY_WORK_QUEUE_HPP
#define SAVORYREACH_ENTRY_WORK_QUEUE_HPP

#include "savoryreach/entry/fair_queue.hpp"
#include "savoryreach/entry/job.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>

namespace savoryreach::entry
{

/// The fair queue with counts of the waiting tasks and used slots of each team. Tasks of a job
/// whose claim is not granted yet are counted but not queued. Not thread-safe.
class work_queue
{
public:
    fair_queue& queue() { return queue_; }

    /// Counts the waiting tasks of an admitted job.
    void reserve(job& it);
    /// Makes the job's waiting tasks startable.
    void start(job& it);
    /// Makes one task of a running job startable.
    void requeue(job& it);
    /// Removes the job; its tasks at agents stay counted until they end.
    void remove(job& it);
    /// Removes all jobs.
    void clear();

    /// Records that a task selected by the queue is sent to an agent.
    void task_sent(job& it);
    /// Returns a task selected by the queue that could not be placed.
    void task_skipped(job& it, absl::Duration charged);
    /// Records the end of an attempt that used \p observed slot time.
    void attempt_ended(const job& it, absl::Duration charged, absl::Duration observed);

    [[nodiscard]] std::size_t waiting() const { return waiting_; }
    [[nodiscard]] std::size_t waiting(const std::string& kind) const;
    [[nodiscard]] std::size_t waiting(const std::string& kind, const std::string& team) const;
    [[nodiscard]] std::uint32_t slots_of(const std::string& team) const;

private:
    void count(const job& it, std::int64_t change);

    fair_queue queue_;                                      ///< order of starts
    absl::btree_map<job_number, std::uint32_t> queued_;     ///< jobs in queue_
    std::size_t waiting_ = 0;                               ///< tasks of all jobs
    absl::flat_hash_map<std::string, std::size_t> by_kind_; ///< waiting tasks
    absl::flat_hash_map<std::pair<std::string, std::string>, std::size_t>
        by_team_;                                           ///< (kind, team)
    absl::flat_hash_map<std::string, std::uint32_t> slots_; ///< used by each team
};

} // namespace savoryreach::entry

#endif
