#ifndef SAVORYREACH_DISPATCH_ENDPOINT_AGENT_HPP
#define SAVORYREACH_DISPATCH_ENDPOINT_AGENT_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/answer_time.hpp"
#include "savoryreach/dispatch/endpoint_calls.hpp"
#include "savoryreach/dispatch/hold_tracker.hpp"
#include "savoryreach/dispatch/speed_model.hpp"
#include "savoryreach/dispatch/tracked_run.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/metrics.hpp"
#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Output of an agent: its reports.
class report_port
{
public:
    virtual ~report_port() = default;

    /// Sends to the current dispatcher; the report is dropped when there is none.
    virtual void send_report(schema::endpoint_report report) = 0;
};

struct endpoint_agent_options
{
    std::string host;
    std::uint64_t process = 0;     ///< random number that identifies the process
    absl::Duration longest_lease;  ///< longest lease of a run; the endpoint shortens longer ones
    absl::Duration renewal_window; ///< renewal time after the latest confirmed contact
    absl::Duration heartbeat_interval = absl::Milliseconds(1500); ///< of the endpoint
};

/// Agent process of one endpoint: passes the dispatcher's orders on to the endpoint, renews the
/// leases of its runs while it is in contact with the dispatcher, determines the outcome of calls
/// without an answer, and reports ends of runs until they are acknowledged. No I/O; runs on one
/// thread.
class endpoint_agent
{
public:
    endpoint_agent(const base::clock& clock, endpoint_calls& calls, report_port& reports,
                   observe::event_sink& events, observe::metrics& metrics,
                   endpoint_agent_options options);

    /// Handles a heartbeat of the endpoint.
    void on_status(const endpoint_status& status);
    /// The endpoint with \p id announces that it shuts down. An incarnation other than the known
    /// one changes nothing; without \p born_ms, the known one is meant. What the endpoint runs
    /// counts until it is seen to end or its leases, which are not renewed any more, are over: the
    /// endpoint may not learn that it was heard, and go on for a while.
    void on_leave(const std::string& id, std::optional<std::int64_t> born_ms);

    /// Sets the dispatcher of \p term; a new dispatcher gets a report.
    void on_dispatcher(const std::string& name, std::uint64_t term);
    /// The dispatcher of \p term has answered a query. It and the quorum behind it were in contact
    /// \p confirmed_at or later.
    void on_contact(std::uint64_t term, absl::Time confirmed_at);
    /// No dispatcher is known. Leases are still renewed for the rest of the renewal window.
    void on_dispatcher_lost() { dispatcher_.clear(); }
    void on_orders(const schema::endpoint_orders& orders);

    void on_start_answer(const start_call& call, start_result result, std::int64_t clock_ms);
    void on_stop_answer(const stop_call& call, bool answered);
    void on_hold_answer(const hold_call& call, const std::optional<hold_answer>& answer);

    /// Makes the calls that are due and sends the pending report.
    void tick();
    /// When the next tick is due at the latest.
    [[nodiscard]] absl::Time next_due() const;

    [[nodiscard]] bool is_busy() const { return !runs_.empty() || requested_list_ != 0; }
    [[nodiscard]] std::size_t run_count() const { return runs_.size(); }
    [[nodiscard]] bool is_silent() const { return silent_; }

private:
    void begin_incarnation(const endpoint_status& status);
    /// Why \p status, of another incarnation than the known one, does not take its place; nullptr
    /// if it does.
    [[nodiscard]] const char* rejection_reason(const endpoint_status& status) const;
    void extend_place();
    /// Takes the end of the cold time from \p status; true if it has changed noticeably.
    bool update_cold_time(const endpoint_status& status);
    void refuse_starts(const schema::endpoint_orders& orders);
    void handle_start_order(const schema::start_order& order, const std::string& payload);
    void send_start(tracked_run& it);
    void send_stop(const task_id& task, tracked_run& it);
    /// Sends copies of the start and stop calls that have had no answer for too long.
    void resend_calls();
    /// Stops the start call's copies, of which one may still be carried out: the run is over once
    /// the endpoint has confirmed the stop and does not list it.
    void give_up_start(const task_id& task, tracked_run& it);
    void end_run(const task_id& task, std::uint32_t attempt, schema::run_outcome outcome,
                 std::uint64_t number);
    void process_ends(const hold_answer& answer);
    void reconcile_runs(const hold_answer& answer, absl::Time sent_at);
    void send_due_holds();
    void send_hold();
    void on_hold_lost();
    void end_lapsed_runs();
    void check_silence();
    void queue_report();
    void report_run_list();
    void record_start(std::uint64_t job);
    void report_progress();
    /// Run time of a run that has ended; nullopt if it is unknown.
    [[nodiscard]] std::optional<absl::Duration> run_time(const tracked_run& it) const;
    schema::endpoint_report& pending();
    void fill_state(schema::endpoint_report& report) const;
    void set_endpoint_clock(std::int64_t clock_ms);
    [[nodiscard]] std::int64_t endpoint_clock() const;
    [[nodiscard]] bool has_recent_contact() const;

    const base::clock& clock_;
    endpoint_calls& calls_;
    report_port& reports_;
    observe::event_sink& events_;
    observe::metrics& metrics_;
    endpoint_agent_options options_;

    endpoint_status status_;
    bool known_ = false; ///< a heartbeat of the current incarnation was received
    bool left_ = false;
    absl::Time keeps_place_until_; ///< against heartbeats of other incarnations
    std::int64_t clock_ms_ = 0;    ///< the endpoint's clock at local time clock_at_
    absl::Time clock_at_;
    absl::Time cold_until_ = absl::InfinitePast(); ///< by the latest heartbeat

    std::string dispatcher_;
    std::uint64_t term_ = 0;
    std::uint64_t session_ = 0;
    absl::Time contact_until_ = absl::InfinitePast();

    absl::btree_map<task_id, tracked_run> runs_;
    std::deque<schema::run_end> unacknowledged_; ///< ends that the dispatcher has not acknowledged
    std::uint64_t last_seen_end_ = 0;            ///< highest number received from the endpoint
    std::uint64_t acknowledged_end_ = 0;
    std::uint64_t sent_acknowledgement_ = 0;
    absl::Time ends_reported_at_ = absl::InfinitePast();

    /// Key of the endpoint and of all queues in the agent's speed model.
    static constexpr const char* single_key = "";
    speed_model speed_; ///< of the one endpoint
    absl::Time next_progress_at_ = absl::InfinitePast();
    answer_time start_time_; ///< from a start call to its answer
    hold_tracker holds_;
    endpoint_contact contact_;
    bool ends_may_be_late_ = false;  ///< no hold call awaited the ends since the latest answer
    std::int64_t list_clock_ms_ = 0; ///< endpoint's clock of the newest list of runs
    absl::Time next_hold_at_ = absl::InfinitePast();
    absl::Time last_tick_at_ = absl::InfiniteFuture();
    absl::Time earlier_starts_until_; ///< when the start calls of earlier processes have expired
    absl::Time lease_until_;          ///< when all leases given have expired, at the latest
    bool silent_ = false;
    std::uint64_t requested_list_ = 0; ///< number of the run list request to answer; 0 for none
    absl::Time list_requested_at_;
    std::optional<schema::endpoint_report> pending_;

    struct recent_start
    {
        std::uint64_t job = 0;
        absl::Time ordered_at;
    };
    std::deque<recent_start>
        recent_starts_;         ///< in the order of time; one for a job's tasks in a row
    absl::Time recorded_since_; ///< recent_starts_ has all starts after this time
};

} // namespace savoryreach::dispatch

#endif
