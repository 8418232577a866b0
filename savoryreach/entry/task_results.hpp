#ifndef SAVORYREACH_ENTRY_TASK_RESULTS_HPP
#define SAVORYREACH_ENTRY_TASK_RESULTS_HPP

#include "savoryreach/entry/dispatcher.hpp"

#include <absl/container/btree_set.h>

#include <functional>
#include <tuple>

namespace savoryreach::entry
{

/// Processes the results of attempts, decides which tasks are retried, and reports ended tasks and
/// jobs that have to fail. Not thread-safe.
class task_results
{
public:
    struct hooks
    {
        std::function<void(job&)> task_ended;                      ///< a task has ended
        std::function<void(job&, const base::reason&)> job_failed; ///< the job cannot complete
    };

    task_results(const dispatcher::dependencies& core_parts, hooks handlers);

    /// Handles a result or recall result from an agent.
    void receive(agent_link& link, const schema::session_item& item);
    /// Handles the loss of an agent. None of its tasks can start or still run.
    void agent_lost(agent_link& link);

    /// Applies the result of an attempt of an earlier epoch.
    void adopt(job& it, std::uint32_t index, const base::node_name& agent,
               const schema::task_result& result);
    /// Handles an attempt of an earlier epoch that may have started. It no longer runs after \p
    /// ended_by.
    void adopt_lost(job& it, std::uint32_t index, absl::Time ended_by);

    /// Makes delayed tasks startable when their delay has passed.
    void tick();
    /// Discards all delayed tasks.
    void clear() { delayed_.clear(); }

    /// The job fails when its tasks have failed at this many endpoints and none has succeeded.
    static constexpr std::size_t max_failed_endpoints = 3;
    /// The job fails when one idempotent task has failed this many times.
    static constexpr std::uint32_t max_failures = 5;

private:
    void handle_result(agent_link& link, const schema::task_result& result);
    void handle_recall_result(agent_link& link, const schema::recall_result& result);
    job* remove_in_flight(agent_link& link, const std::string& submission_id, std::uint32_t task,
                          std::uint32_t attempt);
    void record_attempt_end(job& it, job_task& task, const agent_link& link, attempt_result how,
                            absl::Duration run_time);
    void apply(job& it, std::uint32_t index, const base::node_name& agent,
               const schema::task_result& result);
    void handle_success(job& it, job_task& task, const std::string& output);
    void handle_failure(job& it, std::uint32_t index, const base::node_name& agent,
                        const std::string& reason);
    void handle_not_started(job& it, std::uint32_t index);
    void handle_unknown_outcome(job& it, std::uint32_t index, const std::string& reason,
                                absl::Time retry_at);
    void delay(job& it, std::uint32_t index, absl::Time until, bool is_retry);
    void try_requeue(job& it, std::uint32_t index);

    /// Delay before the retry budget is checked again, and after max_unpaused_returns.
    static constexpr absl::Duration retry_pause = absl::Milliseconds(20);
    /// Consecutive attempts returned unstarted that are requeued without a delay.
    static constexpr std::uint32_t max_unpaused_returns = 3;

    dispatcher::dependencies parts_; ///< shared components of the entry core
    hooks hooks_;                    ///< notified of ended tasks and failed jobs
    absl::btree_set<std::tuple<absl::Time, job_number, std::uint32_t>> delayed_; ///< by time
};

} // namespace savoryreach::entry

#endif
