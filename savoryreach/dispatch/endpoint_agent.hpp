#ifndef SAVORYREACH_DISPATCH_ENDPOINT_AGENT_HPP
#define SAVORYREACH_DISPATCH_ENDPOINT_AGENT_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/dispatch/endpoint_calls.hpp"
#include "savoryreach/dispatch/speed_model.hpp"
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

/// Where an agent's reports go.
class report_port
{
public:
    virtual ~report_port() = default;

    /// Sends to the present dispatcher; the report is lost when there is none.
    virtual void send_report(schema::endpoint_report report) = 0;
};

struct endpoint_agent_options
{
    std::string host;
    std::uint64_t process = 0;    ///< random per process
    absl::Duration longest_lease; ///< of a run; the endpoint shortens longer ones
    absl::Duration renews_for;    ///< after the dispatcher was asked for its last word
};

/// All decisions of the process beside an endpoint: it carries orders to the endpoint, keeps the
/// leases of runs alive while a dispatcher vouches for them, finds out what became of calls without
/// an answer, and reports ends until they are acknowledged. No I/O; runs on one thread.
class endpoint_agent
{
public:
    endpoint_agent(const base::clock& clock, endpoint_calls& calls, report_port& reports,
                   observe::event_sink& events, observe::metrics& measures,
                   endpoint_agent_options options);

    /// A heartbeat of the endpoint.
    void on_status(const endpoint_status& status);
    /// The endpoint with \p id says that it ends.
    void on_leave(const std::string& id);

    /// The dispatcher of \p term is known; a new one gets a report.
    void on_dispatcher(const std::string& name, std::uint64_t term);
    /// The dispatcher of \p term was asked at \p asked_at and gave its word.
    void on_contact(std::uint64_t term, absl::Time asked_at);
    /// No dispatcher is known. Leases are renewed for a bounded time more.
    void on_dispatcher_lost() { dispatcher_.clear(); }
    void on_orders(const schema::endpoint_orders& orders);

    void on_start_answer(const start_call& call, start_result result, std::int64_t clock_ms);
    void on_stop_answer(const stop_call& call, bool answered);
    void on_hold_answer(const std::optional<hold_answer>& answer);

    /// Makes the calls that are due and sends what is to be reported.
    void tick();

    [[nodiscard]] bool is_busy() const { return !runs_.empty() || look_ != 0; }
    [[nodiscard]] std::size_t run_count() const { return runs_.size(); }
    [[nodiscard]] bool is_silent() const { return silent_; }

private:
    struct own_run
    {
        std::uint32_t attempt = 0;
        room takes;
        absl::Duration declared; ///< run time by the job's owner; zero where it is not known
        bool confirmed = false;
        absl::Time confirmed_at;
        bool start_seen = false;   ///< confirmed_at is when the run began
        std::uint32_t percent = 0; ///< of its work, at percent_at
        absl::Time percent_at;
        start_call call;        ///< for sending it again
        bool in_flight = false; ///< a start call has no answer yet
        bool give_up = false;   ///< sending it again is of no use
        std::uint32_t sent = 0; ///< times that the call was sent
        absl::Time sent_at;     ///< the last time
    };

    void begin_incarnation(const endpoint_status& status);
    void take_start(const schema::start_order& order, const std::string& payload);
    void send_start(own_run& it);
    void end_run(const task_id& task, std::uint32_t attempt, schema::run_outcome outcome,
                 std::uint64_t number);
    void take_ends(const hold_answer& answer);
    void settle_runs(const hold_answer& answer);
    void hold_if_due();
    void check_silence();
    void send_state();
    void report_list();
    void report_progress();
    /// Run time of a run that the endpoint shows to be over, as far as it can be told.
    [[nodiscard]] std::optional<absl::Duration> run_time(const own_run& it) const;
    schema::endpoint_report& pending();
    void fill_state(schema::endpoint_report& report) const;
    void note_clock(std::int64_t clock_ms);
    [[nodiscard]] std::int64_t endpoint_clock() const;
    [[nodiscard]] bool has_contact() const;

    const base::clock& clock_;
    endpoint_calls& calls_;
    report_port& reports_;
    observe::event_sink& events_;
    observe::metrics& measures_;
    endpoint_agent_options options_;

    endpoint_status status_;
    bool known_ = false; ///< a heartbeat of the present incarnation has come
    bool left_ = false;
    std::int64_t clock_ms_ = 0; ///< the endpoint's clock at clock_at_
    absl::Time clock_at_;

    std::string dispatcher_;
    std::uint64_t term_ = 0;
    std::uint64_t session_ = 0;
    absl::Time contact_until_ = absl::InfinitePast();

    absl::btree_map<task_id, own_run> runs_;
    std::deque<schema::run_end> unacknowledged_; ///< ends that the endpoint still lists
    std::uint64_t seen_end_ = 0;                 ///< highest number taken from the endpoint
    std::uint64_t acknowledged_end_ = 0;
    std::uint64_t sent_cursor_ = 0;
    absl::Time ends_reported_at_ = absl::InfinitePast();

    speed_model speed_; ///< of the one endpoint
    absl::Time progress_at_ = absl::InfinitePast();
    bool hold_lost_ = false; ///< a hold call had no answer since the last one that had
    bool hold_in_flight_ = false;
    absl::Time hold_sent_at_;
    absl::Time hold_again_at_ = absl::InfinitePast();
    absl::Time lease_until_;         ///< when the last lease given can have ended
    std::uint32_t failed_calls_ = 0; ///< in a row
    bool silent_ = false;
    std::uint64_t look_ = 0; ///< list that the dispatcher waits for
    absl::Time look_at_;
    std::optional<schema::endpoint_report> pending_;
};

} // namespace savoryreach::dispatch

#endif
