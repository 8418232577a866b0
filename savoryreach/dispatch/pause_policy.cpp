#include "savoryreach/dispatch/pause_policy.hpp"

#include "savoryreach/dispatch/task_id.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

/// Bounds of the length that is expected of a pause.
constexpr absl::Duration min_length = absl::Milliseconds(300);
constexpr absl::Duration max_length = absl::Seconds(5);
/// Weight of the latest pause in the usual length.
constexpr double latest_weight = 0.3;
/// A pause that is longer than usual is expected to go on for this share of its length so far.
constexpr double further_share = 0.5;
/// From the dispatcher's return to the start of a held job, and from its end to the answer.
constexpr absl::Duration overhead = absl::Milliseconds(20);
/// An answer later than this many times the objective is of no use to the caller.
constexpr double useful_factor = 3.0;
/// Jobs are held up to the work that was served in this time before the pause, seconds. More would
/// wait so long behind each other that new jobs are late as well.
constexpr double held_seconds = 0.5;
/// Core-seconds that a front holds in any case: it may have served little so far.
constexpr double min_held_work = 30.0;
/// Time constant of the average of the served work, seconds.
constexpr double served_period_s = 2.0;
constexpr absl::Duration min_retry = absl::Milliseconds(200);
constexpr absl::Duration max_retry = absl::Seconds(5);
/// Refused clients return over at least this time.
constexpr absl::Duration min_return_period = absl::Seconds(1);
constexpr double milli = 1000.0;

} // namespace

held_job held_job_of(const schema::submit_job& request, absl::Time read_at, absl::Time answer_by)
{
    held_job out;
    const auto& path = request.path();
    out.queue = absl::StrCat(request.host(), " ",
                             path.substr(0, path.size() - std::min(path.size(), job_id_digits)));
    out.read_at = read_at;
    out.answer_by = answer_by;
    std::vector<absl::Duration> ends; // of the steps, after the start of the job
    for (const auto& step : request.spec().steps())
    {
        auto begin = absl::ZeroDuration();
        for (const auto earlier : step.depends_on())
        {
            // The dispatcher rejects other numbers.
            if (earlier < ends.size())
            {
                begin = std::max(begin, ends[earlier]);
            }
        }
        const auto declared = absl::Milliseconds(step.estimated_ms());
        ends.push_back(begin + declared);
        out.chain = std::max(out.chain, ends.back());
        out.work += absl::ToDoubleSeconds(declared) * step.count() * step.cpu_milli() / milli;
    }
    return out;
}

void pause_policy::begin(absl::Time since)
{
    if (!is_paused())
    {
        began_at_ = since;
    }
}

void pause_policy::end(absl::Time now)
{
    if (!is_paused())
    {
        return;
    }
    if (!is_first_)
    {
        const auto length = std::clamp(now - began_at_, min_length, max_length);
        usual_length_ += (length - usual_length_) * latest_weight;
    }
    is_first_ = false;
    began_at_ = absl::InfiniteFuture();
}

void pause_policy::on_job_done(const held_job& it, const schema::front_answer& answer,
                               absl::Time now)
{
    if (answer.slack_factor() > 0.0)
    {
        objectives_[it.queue] = {answer.slack_factor(), absl::Milliseconds(answer.target_ms())};
    }
    const auto work = served_rate(now) * served_period_s + it.work;
    served_work_ = work;
    served_at_ = now;
}

double pause_policy::served_rate(absl::Time now) const
{
    if (served_at_ == absl::InfinitePast())
    {
        return 0.0;
    }
    // During a pause the rate before it counts.
    const auto until = std::max(served_at_, std::min(now, began_at_));
    const double age = absl::ToDoubleSeconds(until - served_at_);
    return served_work_ * std::exp(-age / served_period_s) / served_period_s;
}

absl::Time pause_policy::expected_end(absl::Time now) const
{
    if (!is_paused())
    {
        return now;
    }
    return std::max(began_at_ + usual_length_, now + (now - began_at_) * further_share);
}

absl::Time pause_policy::needed_by(const held_job& it) const
{
    auto useful_until = it.answer_by;
    if (const auto found = objectives_.find(it.queue); found != objectives_.end())
    {
        const auto& [slack_factor, target] = found->second;
        const auto objective = it.chain * std::max(slack_factor, 1.0) + target;
        useful_until = std::min(useful_until, it.read_at + objective * useful_factor);
    }
    return useful_until - it.chain - overhead;
}

bool pause_policy::is_worth_holding(const held_job& it, double held_work, absl::Time now) const
{
    if (expected_end(now) > needed_by(it))
    {
        return false;
    }
    const double rate = served_rate(now);
    return rate <= 0.0 || held_work + it.work <= std::max(rate * held_seconds, min_held_work);
}

absl::Duration pause_policy::retry_after(double held_work, double spread, absl::Time now) const
{
    const double rate = served_rate(now);
    const auto backlog = rate > 0.0 ? absl::Seconds(held_work / rate) : absl::ZeroDuration();
    const auto period = std::max(min_return_period, expected_end(now) - now);
    return std::clamp(expected_end(now) - now + backlog + period * spread, min_retry, max_retry);
}

} // namespace savoryreach::dispatch
