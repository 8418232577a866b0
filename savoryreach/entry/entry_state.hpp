#ifndef SAVORYREACH_ENTRY_ENTRY_STATE_HPP
#define SAVORYREACH_ENTRY_ENTRY_STATE_HPP

#include "savoryreach/entry/agent_table.hpp"
#include "savoryreach/entry/claim_client.hpp"
#include "savoryreach/entry/dispatcher.hpp"
#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/entry/forwarding.hpp"
#include "savoryreach/entry/job_flow.hpp"
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

/// The parts of an entry core, their connections, and the routing of messages and requests.
struct entry_core::state
{
    state(const schema::entry_settings& settings, entry_ports ports);

    /// Handles a caller's request here or forwards it.
    void handle(caller_request request);
    void handle_id(request_kind kind, std::uint64_t request_id, const std::string& submission_id);
    void receive(const base::node_name& from, const schema::envelope& message);
    void tick();
    [[nodiscard]] entry_status status() const;
    [[nodiscard]] std::string describe(const std::string& subject) const;

    /// Time within which lookups and cancellations are answered.
    static constexpr absl::Duration short_request = absl::Seconds(2);

    /// Other entries ask again every 200 ms for an answer that was lost.
    static constexpr absl::Duration linger = absl::Seconds(1);

    entry_context context;    ///< settings, ports and counters
    keeper_client keepers;    ///< requests to the keepers
    router routes;            ///< homes
    membership members;       ///< epoch, lease, view and configuration
    job_table jobs;           ///< jobs and refusals
    work_queue queue;         ///< order of starts
    placement endpoints;      ///< choice of endpoints
    retry_budget retries;     ///< bound on retries
    agent_table agents;       ///< sessions with agents
    claim_client claims;      ///< claims and finishes
    dispatcher starts;        ///< sends tasks
    task_results results;     ///< takes results
    recovery takeovers;       ///< jobs of dead entries
    job_policy policy;        ///< configuration and admission
    job_flow flow;            ///< life of the jobs
    forwarding forwards;      ///< requests at other homes
    refused_requests refused; ///< answered requests of other entries

private:
    [[nodiscard]] membership::hooks membership_hooks();
    [[nodiscard]] agent_table::hooks agent_hooks();
    [[nodiscard]] task_results::hooks result_hooks();
    [[nodiscard]] recovery::hooks recovery_hooks();
    [[nodiscard]] job_flow::hooks flow_hooks();
    [[nodiscard]] forwarding::hooks forward_hooks();
    [[nodiscard]] dispatcher::dependencies shared();

    void joined();
    void fenced();
    void handle_here(caller_request request, const job_waiter& waiter);
    /// The other entry that is the home of the submission, or an empty name.
    [[nodiscard]] base::node_name other_home(const std::string& submission_id, std::uint32_t hops);
    /// True when the request may be handled here; otherwise it has been answered.
    bool check_ready(const std::string& submission_id, const job_waiter& waiter);
    /// The entry that takes over what a draining entry does not know; empty when this entry does
    /// not drain, when no other entry is live, or when the request was sent to the owner.
    [[nodiscard]] base::node_name successor(const std::string& submission_id, std::uint32_t hops);
    /// True when the request has been refused, as this entry drains and can't say what ran.
    bool refuse_draining(const std::string& submission_id, const job_waiter& waiter);
    void deliver(const job_waiter& waiter, const schema::job_answer& answer);
    void receive_submit(const base::node_name& from, const schema::forward_submit& message);
    void receive_cancel(const base::node_name& from, const schema::forward_cancel& message);
    void redirect(const base::node_name& to, std::uint64_t request_id, const base::node_name& owner,
                  std::uint32_t hops = 0);
    void leave_when_idle();

    absl::Time busy_at_ = absl::InfinitePast(); ///< when something was in flight last
    [[nodiscard]] std::string describe_agents() const;
    [[nodiscard]] std::string describe_teams() const;
    [[nodiscard]] std::string describe_jobs() const;
};

} // namespace savoryreach::entry

#endif
