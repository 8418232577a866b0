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
/// Time allowed for the acknowledgement of reported ends, which takes a round trip. An earlier hold
/// call would return at once with the same ends.
constexpr absl::Duration acknowledgement_wait = absl::Milliseconds(30);
/// Pause after a hold call that failed.
constexpr absl::Duration hold_retry_pause = absl::Milliseconds(100);
/// The endpoint counts as silent after this many successive calls without an answer.
constexpr std::uint32_t max_unanswered_calls = 2;
/// An endpoint's clock may be slow by this factor.
constexpr double clock_drift_factor = 1.02;
/// Allowance for the transit time of a call.
constexpr absl::Duration arrival_margin = absl::Milliseconds(30);
/// A start call is sent at most this many times; each copy has its own timeout.
constexpr std::uint32_t max_start_sends = 3;
/// Interval of progress reports, and the age from which a run is included, which leaves out short
/// tasks. A report has 25 bytes a run: under 0.5 KB/s for the dozen runs that an endpoint has.
constexpr absl::Duration progress_interval = absl::Milliseconds(300);
constexpr absl::Duration progress_age = absl::Milliseconds(200);
constexpr double milli = 1000.0;
/// Key of the endpoint and of all queues in the agent's speed model.
constexpr const char* single_key = "";

} // namespace

endpoint_agent::endpoint_agent(const base::clock& clock, endpoint_calls& calls,
                               report_port& reports, observe::event_sink& events,
                               observe::metrics& metrics, endpoint_agent_options options)
    : clock_(clock), calls_(calls), reports_(reports), events_(events), metrics_(metrics),
      options_(std::move(options)),
      // An earlier agent process may have given leases until just now.
      lease_until_(clock.now() + options_.longest_lease * clock_drift_factor + arrival_margin)
{
}

// ---- heartbeats of the endpoint ----

void endpoint_agent::on_status(const endpoint_status& status)
{
    const bool same = known_ && status.id == status_.id && status.born_ms == status_.born_ms;
    if (!same)
    {
        // Ignores a delayed heartbeat of an earlier incarnation.
        if (status.born_ms < status_.born_ms)
        {
            return;
        }
        begin_incarnation(status);
        return;
    }
    if (status.sequence <= status_.sequence)
    {
        return;
    }
    const bool changed = status.draining != status_.draining ||
                         status.capacity != status_.capacity || status.service != status_.service;
    status_ = status;
    set_endpoint_clock(status.clock_ms);
    if (changed)
    {
        events_.record("endpoint_changed",
                       {{"endpoint", status.id}, {"draining", status.draining ? "1" : "0"}});
        queue_report();
    }
}

void endpoint_agent::begin_incarnation(const endpoint_status& status)
{
    const bool other = status.id != status_.id || status.born_ms != status_.born_ms;
    status_ = status;
    known_ = true;
    left_ = false;
    set_endpoint_clock(status.clock_ms);
    events_.record("endpoint_incarnation", {{"endpoint", status.id},
                                            {"born_ms", absl::StrCat(status.born_ms)},
                                            {"service", status.service}});
    if (other)
    {
        // An unanswered start call may have reached the new incarnation; all other runs are over.
        absl::erase_if(runs_, [](const auto& it) { return it.second.confirmed; });
        unacknowledged_.clear();
        last_seen_end_ = acknowledged_end_ = sent_acknowledgement_ = 0;
        failed_calls_ = 0;
        speed_ = {};
        silent_ = false;
    }
    queue_report();
}

void endpoint_agent::on_leave(const std::string& id)
{
    if (!known_ || id != status_.id)
    {
        return;
    }
    events_.record("endpoint_left", {{"endpoint", id}, {"runs", absl::StrCat(runs_.size())}});
    left_ = true;
    runs_.clear();
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

void endpoint_agent::on_contact(std::uint64_t term, absl::Time asked_at)
{
    if (term == term_)
    {
        contact_until_ = std::max(contact_until_, asked_at + options_.renewal_window);
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
        return; // addressed to an earlier incarnation; the report of the new one is in transit
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
        calls_.stop({task_id_of(it.task()), it.attempt(), term_});
    }
    for (const auto& it : orders.starts())
    {
        const auto payload =
            std::ranges::find(orders.payloads(), it.task().job(), &schema::job_payload::job);
        handle_start_order(it,
                           payload == orders.payloads().end() ? std::string() : payload->payload());
    }
}

void endpoint_agent::handle_start_order(const schema::start_order& order,
                                        const std::string& payload)
{
    const auto task = task_id_of(order.task());
    if (status_.draining || left_ || silent_ || !has_recent_contact() || runs_.contains(task))
    {
        end_run(task, order.attempt(), silent_ ? schema::run_unhealthy : schema::run_expired, 0);
        return;
    }
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
    it.in_flight = true;
    ++it.sent;
    it.sent_at = clock_.now();
    lease_until_ = std::max(
        lease_until_, clock_.now() + options_.longest_lease * clock_drift_factor + arrival_margin);
    const auto call = it.call;
    calls_.start(call);
}

// ---- answers of the endpoint ----

void endpoint_agent::on_start_answer(const start_call& call, start_result result,
                                     std::int64_t clock_ms)
{
    if (result != start_result::no_answer && clock_ms > 0 && call.endpoint == status_.id)
    {
        set_endpoint_clock(clock_ms);
    }
    const auto found = runs_.find(call.task);
    if (found == runs_.end() || found->second.attempt != call.attempt || found->second.confirmed)
    {
        return;
    }
    auto& it = found->second;
    it.in_flight = false;
    metrics_
        .histogram_of("savoryreach_start_call_seconds",
                      "from a start call to its answer, or to giving up on it",
                      {{"answered", result == start_result::no_answer ? "no" : "yes"}})
        .observe(absl::ToDoubleSeconds(clock_.now() - it.sent_at));
    switch (result)
    {
    case start_result::started:
    {
        it.confirmed = true;
        it.confirmed_at = clock_.now();
        it.start_time_known = it.sent == 1;
        it.call.payload.clear();
        failed_calls_ = 0;
        auto& order = *pending().add_confirmed();
        set_key(*order.mutable_task(), call.task);
        order.set_attempt(call.attempt);
        break;
    }
    case start_result::no_answer:
        events_.record("start_unanswered", {{"submission", format_job_id(call.task.job)},
                                            {"attempt", absl::StrCat(call.attempt)},
                                            {"sent", absl::StrCat(it.sent)}});
        ++failed_calls_;
        if (it.sent < max_start_sends && endpoint_clock() < it.call.expires_ms)
        {
            send_start(it);
        }
        else
        {
            it.gave_up = true;
        }
        break;
    case start_result::superseded:
    case start_result::expired:
    case start_result::other_incarnation:
        if (it.sent > 1)
        {
            it.gave_up = true; // an earlier copy of the call may have started the run
            break;
        }
        end_run(call.task, call.attempt,
                result == start_result::superseded ? schema::run_rejected : schema::run_expired, 0);
        break;
    case start_result::unhealthy:
        if (it.sent > 1)
        {
            it.gave_up = true;
            break;
        }
        end_run(call.task, call.attempt, schema::run_unhealthy, 0);
        break;
    case start_result::fenced:
    case start_result::no_capacity:
    case start_result::invalid:
        events_.record("start_rejected", {{"submission", format_job_id(call.task.job)},
                                          {"attempt", absl::StrCat(call.attempt)},
                                          {"result", absl::StrCat(static_cast<int>(result))}});
        end_run(call.task, call.attempt, schema::run_rejected, 0);
        break;
    }
}

void endpoint_agent::on_stop_answer(const stop_call& call, bool answered)
{
    const auto found = runs_.find(call.task);
    if (answered && found != runs_.end() && found->second.attempt == call.attempt &&
        !found->second.confirmed)
    {
        // The endpoint now rejects the start: the next run list shows whether the run exists.
        found->second.call.expires_ms = 0;
        found->second.gave_up = true;
    }
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
            if (it.declared > absl::ZeroDuration())
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

void endpoint_agent::on_hold_answer(const std::optional<hold_answer>& answer)
{
    hold_in_flight_ = false;
    if (!answer)
    {
        ++failed_calls_;
        hold_failed_ = true;
        next_hold_at_ = clock_.now() + hold_retry_pause;
        return;
    }
    if (!known_ || (answer->born_ms != 0 && answer->born_ms != status_.born_ms))
    {
        // Answer of another incarnation, which a heartbeat will announce.
        next_hold_at_ = clock_.now() + hold_retry_pause;
        return;
    }
    failed_calls_ = 0;
    if (silent_)
    {
        silent_ = false;
        events_.record("endpoint_answers", {{"endpoint", status_.id}});
        queue_report();
    }
    set_endpoint_clock(answer->clock_ms);
    process_ends(*answer);
    hold_failed_ = false;
    reconcile_runs(*answer);
    if (requested_list_ != 0 && hold_sent_at_ >= list_requested_at_)
    {
        report_run_list();
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
void endpoint_agent::reconcile_runs(const hold_answer& answer)
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
            auto& order = *pending().add_confirmed();
            set_key(*order.mutable_task(), row.task);
            order.set_attempt(row.attempt);
        }
        it.attempt = row.attempt;
        it.percent = row.percent;
        it.percent_at = clock_.now();
    }
    std::vector<std::pair<task_id, std::uint32_t>> ended_runs;
    for (const auto& [task, it] : runs_)
    {
        if (listed.contains(task) || it.in_flight)
        {
            continue;
        }
        const bool known_before = it.confirmed && it.confirmed_at < hold_sent_at_;
        const bool expired = !it.confirmed && it.gave_up && answer.clock_ms > it.call.expires_ms;
        if (known_before || expired)
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
    return hold_failed_ ? std::nullopt : std::optional(observed);
}

// ---- calls that are due ----

void endpoint_agent::send_hold_if_due()
{
    const auto now = clock_.now();
    const bool has_new_acknowledgement = acknowledged_end_ > sent_acknowledgement_;
    if (!known_ || left_ || term_ == 0 || hold_in_flight_ || now < next_hold_at_ ||
        !(is_busy() || has_new_acknowledgement || silent_))
    {
        return;
    }
    if (requested_list_ == 0 && !unacknowledged_.empty() &&
        now < ends_reported_at_ + acknowledgement_wait)
    {
        return;
    }
    hold_call call;
    const bool renews = has_recent_contact() && !silent_ && failed_calls_ == 0 && !runs_.empty();
    if (renews)
    {
        call.expires_ms = endpoint_clock() + absl::ToInt64Milliseconds(options_.longest_lease);
        lease_until_ = std::max(lease_until_,
                                now + options_.longest_lease * clock_drift_factor + arrival_margin);
    }
    call.fencing_token = term_;
    call.acknowledged_end = acknowledged_end_;
    call.wait_ms = requested_list_ != 0 || runs_.empty() || silent_ ? 0 : hold_wait_ms;
    call.endpoint = status_.id;
    sent_acknowledgement_ = acknowledged_end_;
    hold_in_flight_ = true;
    hold_sent_at_ = now;
    calls_.hold(call);
}

void endpoint_agent::check_silence()
{
    if (!silent_ && failed_calls_ >= max_unanswered_calls)
    {
        silent_ = true;
        events_.record("endpoint_silent", {{"endpoint", status_.id}});
        queue_report();
    }
    const bool answers = known_ && !silent_ && !left_;
    if (answers || clock_.now() < lease_until_)
    {
        return;
    }
    // All leases have expired: the endpoint has ended its runs, or has crashed.
    std::vector<std::pair<task_id, std::uint32_t>> ended_runs;
    for (const auto& [task, it] : runs_)
    {
        if (!it.in_flight)
        {
            ended_runs.emplace_back(task, it.attempt);
        }
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
    send_hold_if_due();
    report_progress();
    if (pending_)
    {
        auto report = std::move(*pending_);
        pending_.reset();
        fill_state(report);
        reports_.send_report(std::move(report));
    }
}

// ---- reports ----

schema::endpoint_report& endpoint_agent::pending()
{
    if (!pending_)
    {
        pending_.emplace();
    }
    return *pending_;
}

void endpoint_agent::queue_report()
{
    pending();
}

void endpoint_agent::fill_state(schema::endpoint_report& report) const
{
    report.set_term(term_);
    report.set_session(session_);
    report.set_agent_process(options_.process);
    report.set_host(options_.host);
    report.set_known(known_);
    report.set_endpoint(status_.id);
    report.set_born_ms(status_.born_ms);
    report.set_service(status_.service);
    report.set_data_centre(status_.data_centre);
    report.set_draining(status_.draining);
    report.set_silent(silent_);
    report.set_left(left_);
    report.set_cpu_milli(static_cast<std::uint32_t>(status_.capacity.cpu_milli));
    report.set_memory_mb(static_cast<std::uint32_t>(status_.capacity.memory_mb));
    report.set_gpu(static_cast<std::uint32_t>(status_.capacity.gpu));
    for (const auto& it : status_.labels)
    {
        report.add_labels(it);
    }
    if (speed_.has_estimate(single_key))
    {
        report.set_speed_milli(static_cast<std::uint32_t>(speed_.speed(single_key) * milli));
    }
}

void endpoint_agent::report_progress()
{
    const auto now = clock_.now();
    if (now < next_progress_at_ || dispatcher_.empty())
    {
        return;
    }
    next_progress_at_ = now + progress_interval;
    for (const auto& [task, it] : runs_)
    {
        const bool is_fresh = it.percent_at + progress_interval > now;
        if (!it.start_time_known || !is_fresh || now - it.confirmed_at < progress_age)
        {
            continue;
        }
        auto& row = *pending().add_progress();
        set_key(*row.mutable_task(), task);
        row.set_attempt(it.attempt);
        row.set_percent(it.percent);
        row.set_ran_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(it.percent_at - it.confirmed_at)));
    }
}

void endpoint_agent::report_run_list()
{
    auto& report = pending();
    report.set_look(requested_list_);
    requested_list_ = 0;
    for (const auto& [task, it] : runs_)
    {
        auto& row = *report.add_running();
        set_key(*row.mutable_task(), task);
        row.set_attempt(it.attempt);
        row.set_cpu_milli(static_cast<std::uint32_t>(it.demand.cpu_milli));
        row.set_memory_mb(static_cast<std::uint32_t>(it.demand.memory_mb));
        row.set_gpu(static_cast<std::uint32_t>(it.demand.gpu));
        row.set_confirmed(it.confirmed);
    }
    // Repeats all unacknowledged ends: their reports may have gone to an earlier dispatcher or may
    // have been lost with a link.
    auto& ends = *report.mutable_ends();
    ends.erase(
        std::remove_if(ends.begin(), ends.end(), [](const auto& it) { return it.number() != 0; }),
        ends.end());
    for (const auto& it : unacknowledged_)
    {
        *report.add_ends() = it;
        report.set_last_end(it.number());
    }
}

} // namespace savoryreach::dispatch
