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
/// Shortest and longest time after which a refused client is asked to return.
constexpr absl::Duration shortest_retry = absl::Milliseconds(200);
constexpr absl::Duration longest_retry = absl::Seconds(5);

/// Share of the cores that taken work may use: tasks leave gaps on endpoints that are nearly full.
constexpr double target_use = 0.9;
/// The least urgent jobs of the sites can wait for 0.6 s: a backlog up to a sixth of that harms
/// none, at five sixths hardly anything is taken.
constexpr double harmless_backlog_s = 0.1;
constexpr double greatest_backlog_s = 0.5;
constexpr double least_use = 0.1;

} // namespace

double usable_share(double backlog_s)
{
    const double over =
        (backlog_s - harmless_backlog_s) / (greatest_backlog_s - harmless_backlog_s);
    return target_use * std::clamp(1.0 - over, least_use, 1.0);
}

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
    const bool queues = backlog > harmless_backlog_s;
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
