#ifndef SAVORYREACH_ENTRY_DISPATCHER_HPP
#define SAVORYREACH_ENTRY_DISPATCHER_HPP

#include "savoryreach/entry/agent_table.hpp"
#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/job_table.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/placement.hpp"
#include "savoryreach/entry/retry_budget.hpp"
#include "savoryreach/entry/work_queue.hpp"

namespace savoryreach::entry
{

/// Takes tasks from the queue, places them on agents and sends them. Recalls unstarted tasks that
/// wait behind a straggler at their agent. Cancels and releases jobs at the agents. Not
/// thread-safe.
class dispatcher
{
public:
    /// Classes of the entry core that the dispatcher uses.
    struct dependencies
    {
        entry_context& context;
        membership& members;
        job_table& jobs;
        agent_table& agents;
        work_queue& queue;
        placement& endpoints;
        retry_budget& retries;
    };

    /// Refuses a job of which nothing was sent if it can no longer end before its deadline. Returns
    /// true after a refusal; the job no longer exists then.
    using late_handler = std::function<bool(job&)>;

    dispatcher(const dependencies& deps, late_handler refuse_if_late);

    /// Sends as many tasks as credit and the lease allow, and recalls tasks behind stragglers.
    void tick();

    /// Cancels the job at the agents that hold tasks of it.
    void cancel(job& it);
    /// Lets the agents drop their records of the job.
    void release(job& it);

    /// Marks the sent attempts of the job as failed without waiting for their results.
    void abandon_attempts(job& it);

private:
    void dispatch();
    bool refuse_late_job(job& it);
    bool start_one(job& it);
    void send_start(job& it, std::uint32_t index, agent_link& link);
    void recall_delayed_tasks();
    void recall_from(agent_link& link, absl::Time now);
    /// Time from which the attempt counts as waiting behind a straggler.
    [[nodiscard]] absl::Time recall_time(const job_task& task, const std::string& kind) const;

    /// Jobs whose last tasks wait for a fast endpoint are skipped, so that they don't block the
    /// others. This bounds the work of one pass.
    static constexpr std::size_t max_skipped_per_pass = 32;
    static constexpr absl::Duration recall_interval = absl::Milliseconds(20);
    /// An attempt counts as waiting behind a straggler after this many expected run times.
    static constexpr double recall_after_runs = 2.0;

    late_handler refuse_if_late_;
    dependencies deps_; ///< shared with the other classes of the core
};

} // namespace savoryreach::entry

#endif
