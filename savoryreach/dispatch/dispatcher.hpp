#ifndef SAVORYREACH_DISPATCH_DISPATCHER_HPP
#define SAVORYREACH_DISPATCH_DISPATCHER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/admission.hpp"
#include "savoryreach/dispatch/dispatcher_options.hpp"
#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/evacuation_orders.hpp"
#include "savoryreach/dispatch/fleet_store.hpp"
#include "savoryreach/dispatch/job_table.hpp"
#include "savoryreach/dispatch/offered_load.hpp"
#include "savoryreach/dispatch/placement_index.hpp"
#include "savoryreach/dispatch/prior_runs.hpp"
#include "savoryreach/dispatch/queue_router.hpp"
#include "savoryreach/dispatch/reservation_plan.hpp"
#include "savoryreach/dispatch/speed_model.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/metrics.hpp"
#include "schema/generated/dispatch.pb.h"
#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Output of the dispatcher: messages to agents and fronts, and entries of the replicated log.
class dispatch_port
{
public:
    virtual ~dispatch_port() = default;

    virtual void send_orders(const std::string& agent, schema::endpoint_orders orders) = 0;
    virtual void answer(const std::string& front, schema::front_answer answer) = 0;
    /// Appends to the replicated log; nullopt when this process does not lead.
    virtual std::optional<std::uint64_t> propose(schema::command command) = 0;
};

struct dispatcher_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t starts = 0;
    std::uint64_t retried_runs = 0;
    std::uint64_t jobs = 0;      ///< current number
    std::uint64_t endpoints = 0; ///< current number

    friend bool operator==(const dispatcher_counts&, const dispatcher_counts&) = default;
};

/// Scheduler of the process that leads the core: decides which jobs are accepted, in which order
/// and on which endpoints their tasks start, and how failed runs and lost endpoints are handled.
/// The jobs are held in memory only: after a change of leader the next dispatcher gets the running
/// tasks from the agents and the open requests from the fronts. No I/O; runs on one thread.
class dispatcher
{
public:
    dispatcher(const base::clock& clock, dispatch_port& port, observe::event_sink& events,
               observe::metrics& metrics, const fleet_store& store,
               const dispatcher_options& options = {});

    /// Begins to dispatch in \p term. Tasks start once every host has listed its runs or the leases
    /// of earlier terms have expired: until then any job may be a copy of one that an earlier
    /// dispatcher has started. Earlier dispatchers have had no contact with a quorum of the core
    /// after \p earlier_contact.
    void lead(std::uint64_t term, absl::Time earlier_contact = absl::InfiniteFuture());
    /// Discards all state; the fronts repeat their requests to the next dispatcher.
    void stop_leading();

    void on_front_request(const std::string& front, const schema::front_request& request);
    void on_report(const std::string& peer, const schema::endpoint_report& report);
    void on_agent_down(const std::string& peer);
    /// True if the dispatcher may confirm its contact with the agent, which then renews leases. An
    /// agent that has not listed its runs must not: the leases of earlier terms expire.
    [[nodiscard]] bool may_confirm(const std::string& peer) const;
    /// The log entry at \p index has been applied to the store.
    void on_applied(std::uint64_t index);
    /// Runs the checks that are due, places tasks and sends the queued orders. Called after each
    /// batch of messages.
    void tick();

    [[nodiscard]] bool is_leading() const { return leading_; }
    [[nodiscard]] dispatcher_counts counts() const;
    /// Number of endpoints in each state, by the name of the state. An endpoint to which several
    /// apply counts in the first of: unlinked, draining, evacuated, silent, set_aside, cold,
    /// usable.
    [[nodiscard]] absl::btree_map<std::string, std::size_t> endpoints_by_state() const;
    /// Speed of the endpoint on \p host, relative to the declared run times.
    [[nodiscard]] double speed_of(const std::string& host) const { return speeds_.speed(host); }

    /// An agent renews the leases of its endpoint's runs for this long after its latest confirmed
    /// contact with the dispatcher and, through it, with a quorum of the core. It asks every 200
    /// ms, and the quorum's word is up to 100 ms older. The last lease lasts a second, so an outage
    /// of a second lets no lease expire.
    static constexpr absl::Duration lease_renewal_window = absl::Milliseconds(650);
    /// After this time without a link a host can have no more runs: its agent renews leases for
    /// 0.65 s, the last lease lasts 1 s on a clock that is 2 % slow, and 80 ms are allowed for
    /// timers that fire late.
    static constexpr absl::Duration host_gone_after = absl::Milliseconds(1750);
    /// A start order takes effect within this time, which covers the longest lease, or not at all.
    static constexpr absl::Duration start_valid_for = absl::Milliseconds(1150);

private:
    /// Interval of the periodic checks.
    static constexpr absl::Duration check_interval = absl::Milliseconds(50);

    struct pending_change
    {
        std::uint64_t index = 0;
        request_ref origin;
    };
    struct pending_cancel
    {
        std::uint64_t index = 0;
        request_ref origin;
        job_address job;
        schema::answer_kind kind = schema::answer_unspecified; ///< of the answer once it is applied
    };
    struct refused_request
    {
        request_ref origin;
        absl::Time expires_at;
    };
    struct ended_job
    {
        schema::answer_kind kind = schema::answer_unspecified;
        absl::Time expires_at;
        std::uint32_t last_attempt = 0;
    };

    /// Tasks of a service that found no room in a placement pass.
    struct unplaced_tasks
    {
        std::int64_t min_cpu_milli = INT64_MAX; ///< the lowest demand that no endpoint could take
        std::vector<task_id> reservable;        ///< those that have asked for no reservation yet
    };
    using placement_pass = absl::flat_hash_map<std::string, unplaced_tasks>; ///< by service

    void submit(const request_ref& origin, const schema::submit_job& request, bool may_have_run);
    void accept(const request_ref& origin, const schema::submit_job& request,
                const schema::queue_config& queue, bool may_have_run);
    /// Sets the job's place in the order by the priority of its queue.
    void apply_priority(job& it) const;
    /// For a job whose tasks start at \p first_start_at if no work precedes it.
    [[nodiscard]] admission_inputs admission_inputs_of(const job& it, bool has_share, double rate,
                                                       absl::Time first_start_at) const;
    [[nodiscard]] std::optional<std::string> find_spec_error(const schema::job_spec& spec);
    [[nodiscard]] absl::Time earliest_read_at(const schema::submit_job& request) const;
    /// Refuses a job that the configuration in force has no queue for, or says that its outcome is
    /// not known if an earlier copy of the request may have started it.
    void reject_without_queue(const request_ref& origin, const schema::submit_job& request,
                              bool may_have_run);
    /// Ends a job that has no started task and can't end by its answer deadline if its tasks start
    /// after \p wait.
    bool drop_if_too_late(const job& it, absl::Duration wait);
    void refuse(const request_ref& origin, std::uint64_t id, schema::answer_kind kind,
                absl::Duration retry_after, const std::string& reason);
    void abandon(const request_ref& origin);
    /// Ends the job, if it is known, and records the cancel in the log before answering: a copy of
    /// the job's request may come later, from a front that is cut off or to a next dispatcher.
    void cancel(const request_ref& origin, const schema::cancel_job& request);
    /// True if the job was cancelled, or its cancel is on its way into the log.
    [[nodiscard]] bool is_cancelled(const job_address& it) const;
    void find_job(const request_ref& origin, const schema::find_job& request);
    /// True if a job that is not known does not exist: the hosts have listed their runs, and the
    /// fronts have had the time to repeat their requests.
    [[nodiscard]] bool knows_all_jobs() const;
    /// Stops all runs of a job that is not known.
    void stop_orphans(std::uint64_t id);
    void count_pending(const request_ref& origin, const schema::count_pending& request);
    void apply_config(const request_ref& origin, const schema::apply_fleet_config& request);
    void order_evacuation(const request_ref& origin, const schema::front_request& request);
    /// Applies the evacuations in the store to the endpoints and the waiting jobs.
    void obey_evacuations();
    /// Refuses the jobs of which nothing has run and whose endpoints are all evacuated.
    void refuse_evacuated_jobs();
    /// True if \p service has endpoints, all of them in data centres that are being evacuated.
    [[nodiscard]] bool is_evacuated(const std::string& service) const;
    /// Tells the speed model whether an endpoint is cold.
    void update_coldness(const endpoint& it);
    void answer(const request_ref& origin, schema::answer_kind kind,
                const std::string& reason = {});
    void send_answer(const request_ref& origin, schema::front_answer out);
    /// Answers \p origin that nothing has run, and gives the same answer again if the request is
    /// repeated.
    void send_refusal(const request_ref& origin, schema::answer_kind kind,
                      absl::Duration retry_after, const std::string& reason);
    /// Time until the usable endpoints have ended the work that waits, at most the longest retry
    /// time.
    [[nodiscard]] absl::Duration drain_time();
    void adopt_runs(job& it);
    void release_ready_steps(job& it);
    void add_run(endpoint& it, const task_id& id, const task_run& run);
    void remove_run(endpoint& it, const task_id& id);
    [[nodiscard]] job_task* task_placed_on(const endpoint& it, const task_id& id,
                                           std::uint32_t attempt);

    void update_state(endpoint& it, const schema::endpoint_report& report);
    void on_run_list(endpoint& it, const schema::endpoint_report& report);
    /// Records that a task of the job with \p id was started in an earlier term.
    void add_prior_run(std::uint64_t id);
    void add_unknown_run(endpoint& it, const schema::run_progress& row);
    void end_unlisted_runs(endpoint& it, const absl::flat_hash_set<task_id>& listed);
    void on_end(endpoint& it, const schema::run_end& end);
    void on_run_done(endpoint& it, const task_id& id, const task_run& ended,
                     const schema::run_end& end);
    void on_run_failed(endpoint& it, const task_id& id);
    /// Lets the task of a run that is over without a result wait again.
    void requeue(const task_id& id, std::uint32_t attempt, const std::string& reason);
    void drop_runs(endpoint& it, const std::string& reason);
    void stop_run(endpoint& it, const task_id& id, std::uint32_t attempt);
    void request_run_list(endpoint& it);
    void register_host(endpoint& it);
    /// True if the log records that the host may have runs, and will go on doing so.
    [[nodiscard]] bool is_registered(const std::string& host) const;

    void end_job(std::uint64_t id, schema::answer_kind kind, const std::string& reason);
    void finish_if_done(job& it);
    void place_tasks();
    /// To be called when endpoints join, leave or change their capacity: the next placement pass
    /// rebuilds the index.
    void invalidate_index();
    void place_job(job& it, placement_pass& pass);
    /// Reserves room for the tasks that found none in this pass.
    void reserve_room(const std::vector<task_id>& unplaced);
    void start(job& it, std::uint32_t step_number, std::uint32_t index, endpoint& target);
    void check_runs();
    void record_failure(endpoint& it);
    void remove_expired();
    void record_load();
    void flush_orders();
    schema::endpoint_orders& orders_for(endpoint& it);
    void on_hosts_listed();
    /// Decides on the jobs that were accepted while the capacity was not known.
    void review_admissions();
    /// True once enough endpoints are known for a job to be refused for their load. Immediately
    /// after the beginning of a term only those that answered first are known.
    [[nodiscard]] bool is_capacity_known();
    /// Expected time until all hosts have listed their runs or the leases of earlier terms have
    /// expired. Hosts without a link count as absent once the others have had time to list theirs.
    [[nodiscard]] absl::Duration listing_wait() const;
    /// Once the leases of earlier terms have expired, the hosts without a list have no runs.
    void stop_waiting_for_lists();
    /// Declared core-seconds that the usable endpoints complete in a second.
    [[nodiscard]] double rate();

    const base::clock& clock_;
    dispatch_port& port_;
    observe::event_sink& events_;
    observe::metrics& metrics_;
    const fleet_store& store_;
    dispatcher_options options_;
    queue_router router_;
    endpoint_table endpoints_;
    speed_model speeds_;
    placement_index index_;
    absl::Time index_valid_until_ = absl::InfinitePast(); ///< when the index is rebuilt
    reservation_plan reservations_;
    offered_load offered_;
    job_table jobs_;
    bool leading_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t applied_version_ = 0; ///< of the configuration in the router
    std::uint64_t last_list_request_ = 0;
    std::uint64_t last_session_ = 0;
    bool placement_due_ = false;
    prior_runs prior_runs_;
    absl::Time led_at_;
    absl::Time earlier_leases_end_at_; ///< of all terms before this one
    bool capacity_known_ = false;      ///< is_capacity_known() has been true in this term
    bool has_started_ = false;         ///< a task was started in this term
    double rate_ = 0.0;                ///< valid until rate_valid_until_
    absl::Time rate_valid_until_ = absl::InfinitePast();
    absl::Time next_check_at_ = absl::InfinitePast();
    absl::Time next_load_record_at_ = absl::InfinitePast();
    absl::Time orphans_expire_at_ = absl::InfinitePast();
    absl::btree_map<std::string, schema::endpoint_orders> orders_; ///< by host
    /// Number of runs of each task that may be active, on any endpoint.
    absl::flat_hash_map<task_id, std::uint32_t> active_runs_;
    absl::flat_hash_map<std::uint64_t, ended_job> ended_;
    std::deque<std::uint64_t> ended_order_;
    absl::btree_map<request_ref, schema::answer_kind> refused_; ///< and the answer that each got
    std::deque<refused_request> refused_order_;                 ///< oldest first
    /// Ends of runs of an earlier term whose jobs have not been submitted to this dispatcher yet.
    absl::flat_hash_map<task_id, schema::run_outcome> orphan_ends_;
    std::vector<pending_change> pending_changes_;
    std::vector<pending_cancel> pending_cancels_;
    absl::btree_map<std::string, std::uint64_t> departures_; ///< log index by host; not applied yet
    evacuation_orders evacuation_orders_;
    absl::btree_set<std::string> obeyed_evacuations_; ///< what the endpoints show
    dispatcher_counts counts_;
};

} // namespace savoryreach::dispatch

#endif
