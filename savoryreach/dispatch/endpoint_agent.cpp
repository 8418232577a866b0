#include "savoryreach/dispatch/endpoint_agent.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Longest time that a hold call waits for an end, milliseconds: leases of a second are renewed
/// four times.
constexpr std::uint32_t hold_wait_ms = 250;
/// Wait of a hold call while calls get lost: bounds the time for which a lost one hides ends.
constexpr std::uint32_t short_hold_wait_ms = 50;
/// Hold calls at once, ordinarily and while calls get lost.
constexpr std::size_t usual_holds = 1;
constexpr std::size_t redundant_holds = 2;
/// Time after its wait within which a hold call is answered.
constexpr absl::Duration hold_margin = absl::Milliseconds(30);
/// Time within which all hold calls return an end that one of them has returned.
constexpr absl::Duration overtaken_margin = absl::Milliseconds(10);
/// Time allowed for the acknowledgement of reported ends, which takes a round trip. An earlier hold
/// call would return at once with the same ends.
constexpr absl::Duration acknowledgement_wait = absl::Milliseconds(30);
/// Pause after a hold call that failed.
constexpr absl::Duration hold_retry_pause = absl::Milliseconds(100);
/// Pause between hold calls to a silent endpoint, while its leases last and afterwards. A heartbeat
/// ends it.
constexpr absl::Duration silent_hold_pause = absl::Milliseconds(200);
constexpr absl::Duration ended_hold_pause = absl::Seconds(1);
/// The endpoint lists at most this many ends in an answer.
constexpr std::size_t max_listed_ends = 500;
/// An endpoint's clock may be slow by this factor.
constexpr double clock_drift_factor = 1.02;
/// Allowance for the transit time of a call.
constexpr absl::Duration arrival_margin = absl::Milliseconds(30);
/// A start or stop call is sent at most this many times, each time after twice the previous pause.
constexpr std::uint32_t max_copies = 5;
/// The start time of a run is known if the copies of its start call were sent within this share of
/// its declared time.
constexpr double start_time_tolerance = 0.1;
/// An incarnation that started later than this host's clock shows by more than this time is none:
/// it would take the place of all that follow.
constexpr absl::Duration max_clock_lead = absl::Hours(1);
/// An incarnation keeps its place for this many heartbeat intervals after its latest heartbeat.
constexpr double kept_heartbeat_intervals = 2.5;
/// A longer time between ticks means that the process did not run.
constexpr absl::Duration max_tick_gap = absl::Milliseconds(150);

} // namespace

endpoint_agent::endpoint_agent(const base::clock& clock, endpoint_calls& calls,
                               report_port& reports, observe::event_sink& events,
                               observe::metrics& metrics, endpoint_agent_options options)
    : clock_(clock), calls_(calls), reports_(reports), events_(events), metrics_(metrics),
      options_(std::move(options)),
      // An earlier agent process may have given leases and sent start calls until just now.
      earlier_starts_until_(clock.now() + options_.longest_lease * clock_drift_factor +
                            arrival_margin),
      lease_until_(earlier_starts_until_), recorded_since_(clock.now())
{
}

// ---- heartbeats of the endpoint ----

void endpoint_agent::on_status(const endpoint_status& status)
{
    const bool same = known_ && status.id == status_.id && status.born_ms == status_.born_ms;
    if (!same)
    {
        if (const auto* reason = rejection_reason(status))
        {
            events_.record("heartbeat_ignored", {{"endpoint", status.id},
                                                 {"born_ms", absl::StrCat(status.born_ms)},
                                                 {"service", status.service},
                                                 {"reason", reason}});
            return;
        }
        begin_incarnation(status);
        return;
    }
    if (status.sequence <= status_.sequence)
    {
        return;
    }
    extend_place();
    const bool changed = update_cold_time(status) || status.draining != status_.draining ||
                         status.capacity != status_.capacity || status.service != status_.service;
    status_ = status;
    set_endpoint_clock(status.clock_ms);
    next_hold_at_ = silent_ ? absl::InfinitePast() : next_hold_at_;
    if (changed)
    {
        events_.record("endpoint_changed",
                       {{"endpoint", status.id}, {"draining", status.draining ? "1" : "0"}});
        queue_report();
    }
}

const char* endpoint_agent::rejection_reason(const endpoint_status& status) const
{
    constexpr const char* is_earlier = "earlier incarnation";
    if (status.born_ms > absl::ToUnixMillis(clock_.wall_now() + max_clock_lead))
    {
        return "started in the future";
    }
    if (!known_ || (left_ && status.born_ms >= status_.born_ms))
    {
        return nullptr;
    }
    if (left_)
    {
        return is_earlier;
    }
    if (clock_.now() >= keeps_place_until_)
    {
        return nullptr;
    }
    if (status.born_ms < status_.born_ms)
    {
        return is_earlier;
    }
    return status.service == status_.service ? nullptr : "another service";
}

bool endpoint_agent::update_cold_time(const endpoint_status& status)
{
    /// Heartbeats of the same cold time differ by their transit times.
    constexpr absl::Duration tolerance = absl::Milliseconds(300);
    const auto now = clock_.now();
    const auto before = std::max(cold_until_, now);
    // Runs that began before a past end of the cold time are still known as such.
    cold_until_ = status.cold_remaining_ms > 0 ? now + absl::Milliseconds(status.cold_remaining_ms)
                                               : std::min(cold_until_, now);
    return absl::AbsDuration(std::max(cold_until_, now) - before) > tolerance;
}

void endpoint_agent::extend_place()
{
    keeps_place_until_ = clock_.now() + options_.heartbeat_interval * kept_heartbeat_intervals;
}

void endpoint_agent::begin_incarnation(const endpoint_status& status)
{
    const bool other = status.id != status_.id || status.born_ms != status_.born_ms;
    status_ = status;
    known_ = true;
    left_ = false;
    extend_place();
    set_endpoint_clock(status.clock_ms);
    cold_until_ = other ? absl::InfinitePast() : cold_until_;
    update_cold_time(status);
    events_.record("endpoint_incarnation", {{"endpoint", status.id},
                                            {"born_ms", absl::StrCat(status.born_ms)},
                                            {"service", status.service}});
    if (other)
    {
        // An unanswered start call may have reached the new incarnation; all other runs are over.
        absl::erase_if(runs_, [](const auto& it) { return it.second.confirmed; });
        unacknowledged_.clear();
        last_seen_end_ = acknowledged_end_ = sent_acknowledgement_ = 0;
        holds_.clear();
        contact_ = {};
        list_clock_ms_ = 0;
        speed_ = {};
        silent_ = false;
    }
    queue_report();
}

void endpoint_agent::on_leave(const std::string& id, std::optional<std::int64_t> born_ms)
{
    if (!known_ || id != status_.id || born_ms.value_or(status_.born_ms) != status_.born_ms)
    {
        events_.record("departure_ignored",
                       {{"endpoint", id},
                        {"born_ms", absl::StrCat(born_ms.value_or(0))},
                        {"reason", known_ ? "another incarnation" : "unknown"}});
        return;
    }
    events_.record("endpoint_left", {{"endpoint", id}, {"runs", absl::StrCat(runs_.size())}});
    left_ = true;
    queue_report();
}

void endpoint_agent::set_endpoint_clock(std::int64_t clock_ms)
{
    clock_ms_ = clock_ms;
    clock_at_ = clock_.now();
}

std::int64_t endpoint_agent::endpoint_clock() const
{
    return clock_ms_ + absl::ToInt64Milliseconds(clock_.now() - clock_at_);
}

// ---- the dispatcher ----

bool endpoint_agent::has_recent_contact() const
{
    return clock_.now() < contact_until_;
}

void endpoint_agent::on_contact(std::uint64_t term, absl::Time confirmed_at)
{
    if (term == term_)
    {
        contact_until_ = std::max(contact_until_, confirmed_at + options_.renewal_window);
    }
}

void endpoint_agent::on_dispatcher(const std::string& name, std::uint64_t term)
{
    if (term < term_)
    {
        return;
    }
    if (term != term_ || name != dispatcher_)
    {
        dispatcher_ = name;
        term_ = term;
        session_ = 0;
        requested_list_ = 0;
        pending_.reset();
        queue_report();
    }
}

void endpoint_agent::on_orders(const schema::endpoint_orders& orders)
{
    if (orders.term() != term_ || orders.session() < session_)
    {
        return;
    }
    if (orders.session() > session_)
    {
        session_ = orders.session();
        pending_.reset();
        queue_report();
    }
    if (orders.endpoint() != status_.id || orders.born_ms() != status_.born_ms)
    {
        if (orders.look() != 0 && !known_)
        {
            requested_list_ = orders.look();
            list_requested_at_ = clock_.now();
        }
        refuse_starts(orders);
        return;
    }
    if (orders.acknowledged_end() > acknowledged_end_)
    {
        acknowledged_end_ = std::min(orders.acknowledged_end(), last_seen_end_);
        while (!unacknowledged_.empty() && unacknowledged_.front().number() <= acknowledged_end_)
        {
            unacknowledged_.pop_front();
        }
    }
    if (orders.look() != 0)
    {
        requested_list_ = orders.look();
        list_requested_at_ = clock_.now();
        next_hold_at_ = absl::InfinitePast();
    }
    for (const auto& it : orders.stops())
    {
        const auto task = task_id_of(it.task());
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.attempt == it.attempt())
        {
            send_stop(task, found->second);
        }
        else
        {
            calls_.stop({task, it.attempt(), term_});
        }
    }
    for (const auto& it : orders.starts())
    {
        const auto payload =
            std::ranges::find(orders.payloads(), it.task().job(), &schema::job_payload::job);
        handle_start_order(it,
                           payload == orders.payloads().end() ? std::string() : payload->payload());
    }
}

/// The orders are for an earlier incarnation, whose successor's report is in transit, or for one
/// that this process has not heard yet.
void endpoint_agent::refuse_starts(const schema::endpoint_orders& orders)
{
    for (const auto& it : orders.starts())
    {
        end_run(task_id_of(it.task()), it.attempt(), schema::run_expired, 0);
    }
    if (orders.starts_size() > 0)
    {
        events_.record("starts_refused", {{"endpoint", orders.endpoint()},
                                          {"born_ms", absl::StrCat(orders.born_ms())},
                                          {"starts", absl::StrCat(orders.starts_size())},
                                          {"reason", known_ ? "another incarnation" : "unknown"}});
    }
}

void endpoint_agent::handle_start_order(const schema::start_order& order,
                                        const std::string& payload)
{
    const auto task = task_id_of(order.task());
    if (status_.draining || left_ || silent_ || !has_recent_contact() || runs_.contains(task))
    {
        end_run(task, order.attempt(), schema::run_expired, 0);
        return;
    }
    record_start(task.job);
    tracked_run it;
    it.attempt = order.attempt();
    it.demand = {order.cpu_milli(), order.memory_mb(), order.gpu()};
    it.declared = absl::Milliseconds(order.declared_ms());
    it.call.task = task;
    it.call.attempt = order.attempt();
    it.call.payload = payload;
    it.call.expires_ms = endpoint_clock() + absl::ToInt64Milliseconds(options_.longest_lease);
    it.call.fencing_token = term_;
    it.call.endpoint = status_.id;
    send_start(runs_[task] = std::move(it));
}

void endpoint_agent::send_start(tracked_run& it)
{
    const auto now = clock_.now();
    it.resend_at = now + start_time_.resend_after() * (1U << it.sent_at.size());
    it.sent_at.push_back(now);
    it.call.copy = static_cast<std::uint32_t>(it.sent_at.size());
    lease_until_ =
        std::max(lease_until_, now + options_.longest_lease * clock_drift_factor + arrival_margin);
    const auto call = it.call;
    calls_.start(call);
}

void endpoint_agent::send_stop(const task_id& task, tracked_run& it)
{
    it.stop.resend_at = clock_.now() + start_time_.resend_after() * (1U << it.stop.sent);
    ++it.stop.sent;
    calls_.stop({task, it.attempt, term_});
}

void endpoint_agent::give_up_start(const task_id& task, tracked_run& it)
{
    it.gave_up = true;
    it.resend_at = absl::InfiniteFuture();
    if (it.stop.sent == 0)
    {
        send_stop(task, it);
    }
}

void endpoint_agent::resend_calls()
{
    const auto now = clock_.now();
    for (auto& [task, it] : runs_)
    {
        if (now >= it.resend_at)
        {
            events_.record("start_unanswered", {{"submission", format_job_id(task.job)},
                                                {"attempt", absl::StrCat(it.attempt)},
                                                {"sent", absl::StrCat(it.sent_at.size())}});
            if (it.sent_at.size() < max_copies && endpoint_clock() < it.call.expires_ms && !left_)
            {
                send_start(it);
            }
            else
            {
                give_up_start(task, it);
            }
        }
        if (now >= it.stop.resend_at)
        {
            events_.record("stop_unanswered", {{"submission", format_job_id(task.job)},
                                               {"attempt", absl::StrCat(it.attempt)},
                                               {"sent", absl::StrCat(it.stop.sent)}});
            if (it.stop.sent < max_copies)
            {
                send_stop(task, it);
            }
            else
            {
                // The dispatcher orders it again, or the start expires.
                it.stop.sent = 0;
                it.stop.resend_at = absl::InfiniteFuture();
            }
        }
    }
}

// ---- answers of the endpoint ----

void endpoint_agent::on_start_answer(const start_call& call, start_result result,
                                     std::int64_t clock_ms)
{
    const auto now = clock_.now();
    const bool answered = result != start_result::no_answer;
    if (answered && clock_ms > 0 && call.endpoint == status_.id)
    {
        set_endpoint_clock(clock_ms);
    }
    const auto found = runs_.find(call.task);
    const bool is_current = found != runs_.end() && found->second.attempt == call.attempt &&
                            call.copy > 0 && call.copy <= found->second.sent_at.size();
    if (answered)
    {
        contact_.on_answer(now);
        contact_.on_late_answer(call.task);
    }
    else
    {
        contact_.on_loss(now);
    }
    if (!is_current || found->second.confirmed)
    {
        return;
    }
    auto& it = found->second;
    const auto took = now - it.sent_at[call.copy - 1];
    metrics_
        .histogram_of("savoryreach_start_call_seconds",
                      "from a start call to its answer, or to giving up on it",
                      {{"answered", answered ? "yes" : "no"}})
        .observe(absl::ToDoubleSeconds(took));
    if (!answered)
    {
        return; // resend_calls() sends the next copy
    }
    start_time_.learn(took);
    if (call.copy > 1)
    {
        contact_.on_overtaken(call.task, now);
    }
    if (result == start_result::started)
    {
        it.confirmed = true;
        it.confirmed_at = now;
        it.start_time_known =
            call.copy == 1 || now - it.sent_at.front() <= it.declared * start_time_tolerance;
        it.resend_at = absl::InfiniteFuture();
        it.call.payload.clear();
        auto& order = *pending().add_confirmed();
        set_key(*order.mutable_task(), call.task);
        order.set_attempt(call.attempt);
        return;
    }
    if (it.sent_at.size() > 1)
    {
        give_up_start(call.task, it); // another copy of the call may have started the run
        return;
    }
    switch (result)
    {
    case start_result::expired:
    case start_result::other_incarnation:
        end_run(call.task, call.attempt, schema::run_expired, 0);
        break;
    case start_result::unhealthy:
        end_run(call.task, call.attempt, schema::run_unhealthy, 0);
        break;
    default:
        events_.record("start_rejected", {{"submission", format_job_id(call.task.job)},
                                          {"attempt", absl::StrCat(call.attempt)},
                                          {"result", absl::StrCat(static_cast<int>(result))}});
        end_run(call.task, call.attempt, schema::run_rejected, 0);
    }
}

void endpoint_agent::on_stop_answer(const stop_call& call, bool answered)
{
    const auto now = clock_.now();
    if (!answered)
    {
        contact_.on_loss(now);
        return; // resend_calls() sends the next copy
    }
    contact_.on_answer(now);
    const auto found = runs_.find(call.task);
    if (found == runs_.end() || found->second.attempt != call.attempt)
    {
        return;
    }
    // From now on the endpoint rejects the start: a run list shows whether the run exists.
    auto& it = found->second;
    it.stop.resend_at = absl::InfiniteFuture();
    it.stop.answered_at = std::min(it.stop.answered_at, now);
    it.resend_at = absl::InfiniteFuture();
    it.gave_up = true;
}

void endpoint_agent::end_run(const task_id& task, std::uint32_t attempt,
                             schema::run_outcome outcome, std::uint64_t number)
{
    ++metrics_.counter_of("savoryreach_run_ends_total", "runs that are over, by outcome",
                          {{"outcome", schema::run_outcome_Name(outcome)}});
    schema::run_end end;
    end.set_number(number);
    set_key(*end.mutable_task(), task);
    end.set_attempt(attempt);
    end.set_outcome(outcome);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.attempt == attempt)
    {
        const auto& it = found->second;
        const auto ran = run_time(it);
        if (outcome == schema::run_done && ran)
        {
            end.set_ran_ms(static_cast<std::uint32_t>(
                std::max<std::int64_t>(absl::ToInt64Milliseconds(*ran), 1)));
            const bool began_cold = it.confirmed_at < cold_until_;
            if (it.declared > absl::ZeroDuration() && !began_cold)
            {
                speed_.learn(single_key, single_key, task.job, it.declared, *ran);
            }
        }
        runs_.erase(found);
    }
    auto& report = pending();
    if (number > 0)
    {
        unacknowledged_.push_back(end);
        report.set_last_end(number);
        ends_reported_at_ = clock_.now();
    }
    *report.add_ends() = std::move(end);
}

void endpoint_agent::on_hold_answer(const hold_call& call, const std::optional<hold_answer>& answer)
{
    const auto now = clock_.now();
    const auto sent = holds_.remove(call.number);
    if (!sent)
    {
        return; // sent to an earlier incarnation
    }
    if (!answer)
    {
        if (!sent->lost)
        {
            // The connection failed: the endpoint did not let the call wait.
            on_hold_lost();
            next_hold_at_ = std::max(next_hold_at_, now + hold_retry_pause);
        }
        return;
    }
    if (!known_ || (answer->born_ms != 0 && answer->born_ms != status_.born_ms))
    {
        // Answer of another incarnation, which a heartbeat will announce.
        next_hold_at_ = now + hold_retry_pause;
        return;
    }
    contact_.on_answer(now);
    if (silent_)
    {
        silent_ = false;
        events_.record("endpoint_answers", {{"endpoint", status_.id}});
        queue_report();
    }
    const auto last_end = last_seen_end_;
    process_ends(*answer);
    ends_may_be_late_ = false;
    if (last_seen_end_ > last_end)
    {
        holds_.on_new_end(now, overtaken_margin);
    }
    // Answers to overlapping calls may arrive in another order.
    if (answer->clock_ms <= list_clock_ms_)
    {
        return;
    }
    list_clock_ms_ = answer->clock_ms;
    set_endpoint_clock(answer->clock_ms);
    reconcile_runs(*answer, sent->sent_at);
    if (requested_list_ != 0 && sent->sent_at >= list_requested_at_)
    {
        report_run_list();
    }
}

void endpoint_agent::on_hold_lost()
{
    contact_.on_loss(clock_.now());
    ends_may_be_late_ = ends_may_be_late_ || holds_.live(absl::InfinitePast()) == 0;
    sent_acknowledgement_ = 0; // it may have been lost with the call
    if (silent_)
    {
        const auto now = clock_.now();
        next_hold_at_ = now + (now < lease_until_ ? silent_hold_pause : ended_hold_pause);
    }
}

void endpoint_agent::process_ends(const hold_answer& answer)
{
    for (const auto& it : answer.ended)
    {
        if (it.number > last_seen_end_)
        {
            last_seen_end_ = it.number;
            end_run(it.task, it.attempt, it.outcome, it.number);
        }
    }
}

/// Updates the tracked runs from the endpoint's list.
void endpoint_agent::reconcile_runs(const hold_answer& answer, absl::Time sent_at)
{
    absl::flat_hash_set<task_id> listed;
    for (const auto& row : answer.running)
    {
        listed.insert(row.task);
        auto& it = runs_[row.task];
        if (it.attempt > row.attempt)
        {
            continue;
        }
        if (!it.confirmed)
        {
            it.confirmed = true;
            it.confirmed_at = clock_.now();
            it.resend_at = absl::InfiniteFuture();
            auto& order = *pending().add_confirmed();
            set_key(*order.mutable_task(), row.task);
            order.set_attempt(row.attempt);
        }
        it.attempt = row.attempt;
        it.percent = row.percent;
        it.percent_at = clock_.now();
    }
    const bool has_all_ends = answer.ended.size() < max_listed_ends;
    std::vector<std::pair<task_id, std::uint32_t>> ended_runs;
    for (const auto& [task, it] : runs_)
    {
        if (listed.contains(task))
        {
            continue;
        }
        const bool known_before = it.confirmed && it.confirmed_at < sent_at && has_all_ends;
        const bool can_not_start =
            answer.clock_ms > it.call.expires_ms || sent_at >= it.stop.answered_at;
        if (known_before || (!it.confirmed && it.gave_up && can_not_start && has_all_ends))
        {
            ended_runs.emplace_back(task, it.attempt);
        }
    }
    for (const auto& [task, attempt] : ended_runs)
    {
        const bool confirmed = runs_.at(task).confirmed;
        end_run(task, attempt, confirmed ? schema::run_lapsed : schema::run_expired, 0);
    }
}

std::optional<absl::Duration> endpoint_agent::run_time(const tracked_run& it) const
{
    if (!it.start_time_known)
    {
        return std::nullopt;
    }
    const auto observed = clock_.now() - it.confirmed_at;
    const auto ran = it.percent_at - it.confirmed_at;
    if (const auto projected = projected_run_time(it.percent, ran))
    {
        return std::clamp(*projected, ran, observed);
    }
    return ends_may_be_late_ ? std::nullopt : std::optional(observed);
}

// ---- calls that are due ----

void endpoint_agent::send_due_holds()
{
    const auto now = clock_.now();
    const bool has_new_acknowledgement = acknowledged_end_ > sent_acknowledgement_;
    const bool is_awaited = is_busy() || (!left_ && (has_new_acknowledgement || silent_));
    if (!known_ || term_ == 0 || now < next_hold_at_ || !is_awaited)
    {
        return;
    }
    if (requested_list_ == 0 && !unacknowledged_.empty() &&
        now < ends_reported_at_ + acknowledgement_wait)
    {
        return;
    }
    // A call that was sent before a list was requested does not count: the answer is awaited.
    const auto since = requested_list_ != 0 ? list_requested_at_ : absl::InfinitePast();
    const bool overlaps = contact_.loses_calls(now) && !silent_;
    const auto wanted = overlaps ? redundant_holds : usual_holds;
    for (auto n = holds_.live(since); n < wanted; ++n)
    {
        send_hold();
    }
}

void endpoint_agent::send_hold()
{
    const auto now = clock_.now();
    hold_call call;
    if (has_recent_contact() && !silent_ && !left_ && !runs_.empty())
    {
        call.expires_ms = endpoint_clock() + absl::ToInt64Milliseconds(options_.longest_lease);
        lease_until_ = std::max(lease_until_,
                                now + options_.longest_lease * clock_drift_factor + arrival_margin);
    }
    call.fencing_token = term_;
    call.acknowledged_end = acknowledged_end_;
    const bool waits = requested_list_ == 0 && !runs_.empty() && !silent_;
    if (waits)
    {
        call.wait_ms = contact_.loses_calls(now) ? short_hold_wait_ms : hold_wait_ms;
    }
    call.endpoint = status_.id;
    call.number = holds_.add(now, now + absl::Milliseconds(call.wait_ms) + hold_margin);
    sent_acknowledgement_ = acknowledged_end_;
    calls_.hold(call);
}

void endpoint_agent::check_silence()
{
    const auto now = clock_.now();
    if (now > last_tick_at_ + max_tick_gap)
    {
        // The process did not run: answers may wait to be read.
        contact_.on_pause(now);
        holds_.postpone(now + hold_margin);
    }
    last_tick_at_ = now;
    for (auto n = holds_.expire(now); n > 0; --n)
    {
        on_hold_lost();
    }
    contact_.expire(now);
    if (!silent_ && contact_.is_silent(now))
    {
        silent_ = true;
        events_.record("endpoint_silent", {{"endpoint", status_.id}});
        queue_report();
    }
    const bool answers = known_ && !silent_ && !left_;
    if (!answers && now >= lease_until_)
    {
        end_lapsed_runs();
    }
}

/// All leases have expired: the endpoint has ended its runs, or has crashed.
void endpoint_agent::end_lapsed_runs()
{
    std::vector<std::pair<task_id, std::uint32_t>> ended_runs;
    for (const auto& [task, it] : runs_)
    {
        ended_runs.emplace_back(task, it.attempt);
    }
    for (const auto& [task, attempt] : ended_runs)
    {
        end_run(task, attempt, schema::run_lapsed, 0);
    }
    if (requested_list_ != 0)
    {
        report_run_list();
    }
}

void endpoint_agent::tick()
{
    check_silence();
    resend_calls();
    send_due_holds();
    report_progress();
    if (pending_)
    {
        auto report = std::move(*pending_);
        pending_.reset();
        fill_state(report);
        reports_.send_report(std::move(report));
    }
}

absl::Time endpoint_agent::next_due() const
{
    auto next = holds_.next_due();
    for (const auto& [task, it] : runs_)
    {
        next = std::min({next, it.resend_at, it.stop.resend_at});
    }
    return next;
}

} // namespace savoryreach::dispatch
