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

/// Takes tasks from the queue, places them on agents and sends them; asks for unstarted tasks back
/// that wait behind a straggler; cancels and releases jobs at the agents. Not thread-safe.
class dispatcher
{
public:
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

    /// Refuses a job of which nothing was sent when it can't end in time any more, and tells so;
    /// the job is gone then.
    using late_handler = std::function<bool(job&)>;

    dispatcher(const dependencies& of, late_handler refuse_if_late);

    /// Sends as many tasks as credit and the lease allow, and recalls behind stragglers.
    void tick();

    /// Cancels the job's tasks at the agents that have some.
    void cancel(job& it);
    /// Lets the agents drop their records of the job.
    void release(job& it);

    /// Gives up waiting for results of the job's tasks at agents.
    void abandon_attempts(job& it);

private:
    void dispatch();
    bool is_late(job& it);
    bool start_one(job& it);
    void send_start(job& it, std::uint32_t index, agent_link& link);
    void recall_stragglers();
    void recall_from(agent_link& link, absl::Time now);
    /// When the attempt counts as behind a straggler.
    [[nodiscard]] absl::Time recall_time(const job_task& task, const std::string& kind) const;

    /// Jobs near their end that wait for a fast endpoint don't stop the others; this bounds the
    /// work of one pass.
    static constexpr std::size_t max_skipped = 32;
    static constexpr absl::Duration recall_interval = absl::Milliseconds(20);
    /// An attempt is behind a straggler after this many expected run times.
    static constexpr double recall_after_runs = 2.0;

    late_handler refuse_if_late_;
    dependencies of_; ///< shared with the other classes of the core
};

} // namespace savoryreach::entry

#endif
