#include "savoryreach/dispatch/admission.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Share of the objective by which a job may be expected to end late and still be accepted: the
/// estimates of work are up to 40 % off, and an answer that is a little late is worth more than
/// none.
constexpr double tolerated_lateness = 0.25;
/// A queue of all work for longer than this is never accepted, seconds: fairness between queues
/// must not push the least urgent back for ever.
constexpr double longest_backlog_s = 1.5;
/// While less than this waits, seconds of work, every job is taken.
constexpr double short_backlog_s = 0.03;
/// Shortest and longest time after which a refused client is asked to return.
constexpr absl::Duration shortest_retry = absl::Milliseconds(200);
constexpr absl::Duration longest_retry = absl::Seconds(5);

} // namespace

admission_verdict decide_admission(const admission_inputs& inputs, absl::Time now)
{
    if (inputs.rate <= 0.0)
    {
        return {false, absl::InfiniteDuration(), now + longest_retry};
    }
    const double ahead = inputs.work_ahead / inputs.rate;
    const double backlog = inputs.work_waiting / inputs.rate;
    const auto wait = absl::Seconds(ahead);
    const auto limit = inputs.objective * (1.0 + tolerated_lateness) - inputs.chain;
    const bool queues = backlog > short_backlog_s;
    if (wait <= std::max(limit, absl::ZeroDuration()) && backlog <= longest_backlog_s &&
        (inputs.has_share || !queues))
    {
        return {true, wait, now};
    }
    const auto excess = std::max({wait - limit, absl::Seconds(backlog - longest_backlog_s),
                                  absl::Seconds(inputs.has_share ? 0.0 : backlog)});
    return {false, wait, now + std::clamp(excess, shortest_retry, longest_retry)};
}

} // namespace savoryreach::dispatch
