// What an agent tells the dispatcher.

#include "savoryreach/dispatch/endpoint_agent.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Interval of progress reports, and the age from which a run is included, which leaves out short
/// tasks. A report has 25 bytes a run: under 0.5 KB/s for the dozen runs that an endpoint has.
constexpr absl::Duration progress_interval = absl::Milliseconds(300);
constexpr absl::Duration progress_age = absl::Milliseconds(200);
/// Time for which a next dispatcher needs the record of starts: the longest time from reading a
/// request to its start by the dispatcher that was lost, and from there to the list.
constexpr absl::Duration start_history = absl::Seconds(3);
/// Bound of the record's memory and of its message, 8 KB. With more starts it reaches back less.
constexpr std::size_t max_recent_starts = 1024;
constexpr double milli = 1000.0;

} // namespace

void endpoint_agent::record_start(std::uint64_t job)
{
    const auto now = clock_.now();
    if (!recent_starts_.empty() && recent_starts_.back().job == job)
    {
        recent_starts_.back().ordered_at = now;
    }
    else
    {
        recent_starts_.push_back({job, now});
    }
    while (recent_starts_.size() > max_recent_starts ||
           recent_starts_.front().ordered_at < now - start_history)
    {
        recorded_since_ = recent_starts_.front().ordered_at;
        recent_starts_.pop_front();
    }
}

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
    const auto cold = std::max(cold_until_ - clock_.now(), absl::ZeroDuration());
    report.set_cold_remaining_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(cold)));
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
    const auto now = clock_.now();
    const auto hidden = std::max(earlier_starts_until_ - now, absl::ZeroDuration());
    report.set_earlier_starts_ms(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(absl::Ceil(hidden, absl::Milliseconds(1)))));
    const auto since = std::max(recorded_since_, now - start_history);
    report.set_history_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - since)));
    for (const auto& it : recent_starts_)
    {
        if (it.ordered_at >= since)
        {
            report.add_recent_jobs(it.job);
        }
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
