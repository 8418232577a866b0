#ifndef SAVORYREACH_DISPATCH_DISPATCHER_HPP
#define SAVORYREACH_DISPATCH_DISPATCHER_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/fleet_store.hpp"
#include "savoryreach/dispatch/job_board.hpp"
#include "savoryreach/dispatch/offered_load.hpp"
#include "savoryreach/dispatch/placement_index.hpp"
#include "savoryreach/dispatch/queue_router.hpp"
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

/// What the dispatcher acts through.
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
    std::uint64_t jobs = 0;      ///< now
    std::uint64_t endpoints = 0; ///< now

    friend bool operator==(const dispatcher_counts&, const dispatcher_counts&) = default;
};

/// All decisions of the process that leads the core: which jobs are accepted, in which order their
/// tasks start and where, what happens when runs fail or endpoints go. Its state of jobs is in
/// memory only; a next dispatcher learns from the agents what runs, and from the fronts what is
/// wanted. No I/O; runs on one thread.
class dispatcher
{
public:
    dispatcher(const base::clock& clock, dispatch_port& port, observe::event_sink& events,
               observe::metrics& measures, const fleet_store& store);

    /// Begins to act in \p term. Tasks start once every host that may have runs of an earlier
    /// term has said what runs, or its leases have ended.
    void lead(std::uint64_t term);
    /// Forgets everything; the fronts turn to the next dispatcher.
    void stop_leading();

    void on_front_request(const std::string& front, const schema::front_request& request);
    void on_report(const std::string& peer, const schema::endpoint_report& report);
    void on_agent_down(const std::string& peer);
    /// The log entry at \p index has been applied to the store.
    void on_applied(std::uint64_t index);
    /// Handles what is due and sends gathered orders. Called after each batch of messages.
    void tick();

    [[nodiscard]] bool is_leading() const { return leading_; }
    [[nodiscard]] dispatcher_counts counts() const;
    /// Of the endpoint on \p host, relative to the declared times.
    [[nodiscard]] double speed_of(const std::string& host) const { return speeds_.speed(host); }

    /// An agent gives leases to its endpoint's runs for this long after it asked for the last word
    /// that it got from the dispatcher. It asks every 200 ms; an outage of a second lets no lease
    /// end, since the last one lasts a second.
    static constexpr absl::Duration lease_renewal_window = absl::Milliseconds(650);
    /// When a host without a link can have no more runs: the agent gives leases for 0.65 s, the
    /// last one lasts 1 s on a clock that is 2 % slow, and 80 ms for timers that fire late.
    static constexpr absl::Duration host_gone_after = absl::Milliseconds(1750);
    /// A start that was sent takes effect within the longest lease, or not at all.
    static constexpr absl::Duration start_takes_effect = absl::Milliseconds(1150);

private:
    /// Interval of the checks that need no exact time.
    static constexpr absl::Duration watch_interval = absl::Milliseconds(50);

    struct pending_change
    {
        std::uint64_t index = 0;
        waiter who;
    };
    struct refused_request
    {
        waiter who;
        absl::Time forget_at;
    };
    struct ended_job
    {
        schema::answer_kind kind = schema::answer_unspecified;
        absl::Time forget_at;
        std::uint32_t last_attempt = 0;
    };

    void submit(const waiter& who, const schema::submit_job& request, bool may_have_run);
    void accept(const waiter& who, const schema::submit_job& request,
                const schema::queue_config& queue, bool may_have_run);
    [[nodiscard]] std::optional<std::string> refusal_by_spec(const schema::job_spec& spec);
    /// Ends a job of which no task has started and that can't be of use any more.
    bool drop_if_hopeless(const job& it);
    void refuse(const waiter& who, std::uint64_t id, absl::Duration retry_after,
                const std::string& why);
    void abandon(const waiter& who);
    void cancel(const waiter& who, const schema::cancel_job& request);
    void count_pending(const waiter& who, const schema::count_pending& request);
    void apply_config(const waiter& who, const schema::apply_fleet_config& request);
    void answer(const waiter& who, schema::answer_kind kind, const std::string& reason = {});
    void send_answer(const waiter& who, schema::front_answer out);
    /// Tells \p who that nothing has run; the same request is refused again if it is repeated.
    void send_refusal(const waiter& who, absl::Duration retry_after, const std::string& why);
    /// When the work that waits now will have been done.
    [[nodiscard]] absl::Duration drain_time();
    void adopt_runs(job& it);
    void release_ready_steps(job& it);
    void add_run(endpoint& it, const task_id& id, const run& what);
    void remove_run(endpoint& it, const task_id& id);
    [[nodiscard]] task* task_on(const endpoint& it, const task_id& id, std::uint32_t attempt);

    void take_state(endpoint& it, const schema::endpoint_report& report);
    void on_list(endpoint& it, const schema::endpoint_report& report);
    void take_unknown_run(endpoint& it, const schema::run_progress& row);
    void settle_unlisted(endpoint& it, const absl::flat_hash_set<task_id>& listed);
    void on_end(endpoint& it, const schema::run_end& end);
    void on_run_done(endpoint& it, const task_id& id, const run& ended, const schema::run_end& end);
    void on_run_failed(endpoint& it, const task_id& id);
    /// The run is over without a result: its task waits again.
    void requeue(const task_id& id, std::uint32_t attempt, const std::string& why);
    void lose_runs(endpoint& it, const std::string& why);
    void stop_run(endpoint& it, const task_id& id, std::uint32_t attempt);
    void ask_for_list(endpoint& it);
    void register_host(endpoint& it);

    void end_job(std::uint64_t id, schema::answer_kind kind, const std::string& why);
    void finish_if_done(job& it);
    void place_tasks();
    /// Endpoints have come, gone or changed their capacity: the next pass makes the index anew.
    void forget_index();
    void place_job(job& it, absl::flat_hash_map<std::string, std::int64_t>& full);
    void start(job& it, std::uint32_t step_number, std::uint32_t index, endpoint& place);
    void watch_runs();
    void note_failure(endpoint& it);
    void expire();
    void record_load();
    void flush_orders();
    schema::endpoint_orders& orders_for(endpoint& it);
    /// True once every host that may have runs of an earlier term has said what runs.
    [[nodiscard]] bool may_start();
    /// Declared core-seconds that the usable endpoints get through in a second.
    [[nodiscard]] double rate();

    const base::clock& clock_;
    dispatch_port& port_;
    observe::event_sink& events_;
    observe::metrics& measures_;
    const fleet_store& store_;
    queue_router router_;
    endpoint_table endpoints_;
    speed_model speeds_;
    placement_index index_;
    absl::Time index_until_ = absl::InfinitePast(); ///< when the order is made anew
    offered_load offered_;
    job_board board_;
    bool leading_ = false;
    std::uint64_t term_ = 0;
    std::uint64_t applied_version_ = 0; ///< of the configuration in the router
    std::uint64_t last_look_ = 0;
    std::uint64_t last_session_ = 0;
    bool place_due_ = false;
    bool settled_ = false; ///< may_start() has been true in this term
    double rate_ = 0.0;    ///< until rate_until_
    absl::Time rate_until_ = absl::InfinitePast();
    absl::Time watch_at_ = absl::InfinitePast();
    absl::Time load_at_ = absl::InfinitePast();
    absl::Time orphans_until_ = absl::InfinitePast();
    absl::btree_map<std::string, schema::endpoint_orders> orders_; ///< by host
    /// Number of runs of each task that may be under way, on any endpoint.
    absl::flat_hash_map<task_id, std::uint32_t> under_way_;
    absl::flat_hash_map<std::uint64_t, ended_job> ended_;
    std::deque<std::uint64_t> ended_order_;
    absl::btree_set<waiter> refused_;
    std::deque<refused_request> refused_order_; ///< oldest first
    /// Ends of runs of jobs that this dispatcher does not know, from before its term.
    absl::flat_hash_map<task_id, schema::run_outcome> orphan_ends_;
    std::vector<pending_change> pending_changes_;
    dispatcher_counts counts_;
};

} // namespace savoryreach::dispatch

#endif
