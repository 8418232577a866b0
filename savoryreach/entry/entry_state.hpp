#ifndef SAVORYREACH_ENTRY_ENTRY_STATE_HPP
#define SAVORYREACH_ENTRY_ENTRY_STATE_HPP

#include "savoryreach/entry/agent_table.hpp"
#include "savoryreach/entry/claim_client.hpp"
#include "savoryreach/entry/dispatcher.hpp"
#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/entry/forwarding.hpp"
#include "savoryreach/entry/job_lifecycle.hpp"
#include "savoryreach/entry/job_policy.hpp"
#include "savoryreach/entry/job_table.hpp"
#include "savoryreach/entry/keeper_client.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/recovery.hpp"
#include "savoryreach/entry/refused_requests.hpp"
#include "savoryreach/entry/router.hpp"
#include "savoryreach/entry/task_results.hpp"
#include "savoryreach/entry/work_queue.hpp"

#include <string>

namespace savoryreach::entry
{

/// The components of an entry core, the callbacks between them, and the dispatch of messages and
/// requests.
struct entry_core::state
{
    state(const schema::entry_settings& settings, entry_ports ports);

    /// Handles a caller's request locally or forwards it to the home entry.
    void handle(caller_request request);
    void handle_by_id(request_kind kind, std::uint64_t request_id,
                      const std::string& submission_id);
    void receive(const base::node_name& from, const schema::envelope& message);
    void tick();
    [[nodiscard]] entry_status status() const;
    [[nodiscard]] std::string describe(const std::string& subject) const;

    /// Deadline for answering lookups and cancellations.
    static constexpr absl::Duration short_request_timeout = absl::Seconds(2);

    /// Time that a drained entry stays in the membership after its last work: other entries resend
    /// a request every 200 ms when its answer was lost.
    static constexpr absl::Duration drain_linger = absl::Seconds(1);

    entry_context context;    ///< settings, interfaces to the environment and counters
    keeper_client keepers;    ///< requests to the keepers
    router routes;            ///< home entry of each submission
    membership members;       ///< epoch, lease, membership view and configuration
    job_table jobs;           ///< jobs and refusals in force
    work_queue queue;         ///< order in which tasks start
    placement endpoints;      ///< choice of the endpoint for a task
    retry_budget retries;     ///< limits the rate of retries
    agent_table agents;       ///< sessions with agents
    claim_client claims;      ///< claims and finish reports to the ledger
    dispatcher starts;        ///< sends tasks to agents
    task_results results;     ///< handles task results
    recovery takeovers;       ///< recovers jobs of failed entries
    job_policy policy;        ///< configuration and admission
    job_lifecycle lifecycle;  ///< states and answers of the jobs
    forwarding forwards;      ///< requests sent to other home entries
    refused_requests refused; ///< refused requests of other entries

private:
    [[nodiscard]] membership::hooks membership_hooks();
    [[nodiscard]] agent_table::hooks agent_hooks();
    [[nodiscard]] task_results::hooks result_hooks();
    [[nodiscard]] recovery::hooks recovery_hooks();
    [[nodiscard]] job_lifecycle::hooks lifecycle_hooks();
    [[nodiscard]] forwarding::hooks forward_hooks();
    [[nodiscard]] dispatcher::dependencies shared_parts();

    void joined();
    void fenced();
    void handle_locally(caller_request request, const job_waiter& waiter);
    /// The other entry that is the home of the submission, or an empty name.
    [[nodiscard]] base::node_name remote_home(const std::string& submission_id, std::uint32_t hops);
    /// True when the request may be handled here; otherwise it has been answered.
    bool check_ready(const std::string& submission_id, const job_waiter& waiter);
    /// The entry that takes a submission unknown to this draining entry. Empty when this entry is
    /// not draining, when no other entry is live, or when the request was sent to this entry as the
    /// owner.
    [[nodiscard]] base::node_name successor(const std::string& submission_id, std::uint32_t hops);
    /// Refuses the request when this entry is draining and cannot know what ran. True when refused.
    bool refuse_draining(const std::string& submission_id, const job_waiter& waiter);
    void deliver(const job_waiter& waiter, const schema::job_answer& answer);
    void receive_submit(const base::node_name& from, const schema::forward_submit& message);
    void receive_cancel(const base::node_name& from, const schema::forward_cancel& message);
    void redirect(const base::node_name& to, std::uint64_t request_id, const base::node_name& owner,
                  std::uint32_t hops = 0);
    void leave_when_idle();

    absl::Time last_busy_at_ = absl::InfinitePast(); ///< last time a job or request was in flight
    [[nodiscard]] std::string describe_agents() const;
    [[nodiscard]] std::string describe_teams() const;
    [[nodiscard]] std::string describe_jobs() const;
};

} // namespace savoryreach::entry

#endif
