#ifndef SAVORYREACH_ENTRY_TASK_RESULTS_HPP
#define SAVORYREACH_ENTRY_TASK_RESULTS_HPP

#include "savoryreach/entry/dispatcher.hpp"

#include <absl/container/btree_set.h>

#include <functional>
#include <tuple>

namespace savoryreach::entry
{

/// Takes the results of attempts, decides which tasks are started again, and reports when a job's
/// tasks make it complete or failed. Not thread-safe.
class task_results
{
public:
    struct hooks
    {
        std::function<void(job&)> progressed;                      ///< a task has ended
        std::function<void(job&, const base::reason&)> job_failed; ///< the job can't complete
    };

    task_results(const dispatcher::dependencies& of, hooks call);

    /// Takes a result or recall result from an agent.
    void item(agent_link& link, const schema::session_item& item);
    /// Nothing at the agent can start or still run.
    void agent_lost(agent_link& link);

    /// Records how an attempt of an earlier epoch ended.
    void adopt(job& it, std::uint32_t index, const base::node_name& agent,
               const schema::task_result& result);
    /// An attempt of an earlier epoch may have started; nothing of it runs after \p over_at.
    void adopt_lost(job& it, std::uint32_t index, absl::Time over_at);

    /// Makes delayed tasks startable whose pause is over.
    void tick();
    /// Forgets all delayed tasks.
    void clear() { delayed_.clear(); }

    /// Endpoints at which a job's tasks may fail before the job fails, when none has succeeded.
    static constexpr std::size_t max_failed_endpoints = 3;
    /// Attempts of one idempotent task that may fail.
    static constexpr std::uint32_t max_failures = 5;

private:
    void result(agent_link& link, const schema::task_result& result);
    void recalled(agent_link& link, const schema::recall_result& result);
    job* take(agent_link& link, const std::string& submission_id, std::uint32_t task,
              std::uint32_t attempt);
    void settle(job& it, job_task& task, const agent_link& link, attempt_result how,
                absl::Duration run_time);
    void apply(job& it, std::uint32_t index, const base::node_name& agent,
               const schema::task_result& result);
    void succeeded(job& it, job_task& task, const std::string& output);
    void failed(job& it, std::uint32_t index, const base::node_name& agent,
                const std::string& reason);
    void given_back(job& it, std::uint32_t index);
    void end_unknown(job& it, std::uint32_t index, const std::string& reason, absl::Time retry_at);
    void delay(job& it, std::uint32_t index, absl::Time until, bool is_retry);
    void try_start(job& it, std::uint32_t index);

    /// Pause before another look at the retry budget, or after an agent gave a task back often.
    static constexpr absl::Duration retry_pause = absl::Milliseconds(20);
    /// Attempts given back in a row before a pause.
    static constexpr std::uint32_t max_given_back = 3;

    dispatcher::dependencies of_; ///< shared with the other classes of the core
    hooks call_;                  ///< told about jobs
    absl::btree_set<std::tuple<absl::Time, job_number, std::uint32_t>> delayed_; ///< by time
};

} // namespace savoryreach::entry

#endif
