#include "savoryreach/dispatch/admission.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Lateness, as a share of the objective, with which a job is still accepted: estimates of work are
/// up to 40 % off, and a slightly late answer is worth more than none.
constexpr double tolerated_lateness = 0.25;
/// No job is accepted while the waiting work takes longer than this, seconds: otherwise the least
/// urgent jobs could wait without bound.
constexpr double max_backlog_s = 1.5;
/// Bounds of the retry time of a refused client.
constexpr absl::Duration min_retry = absl::Milliseconds(200);
constexpr absl::Duration max_retry = absl::Seconds(5);

/// Share of the cores that accepted work may use: nearly full endpoints have gaps that no task
/// fits.
constexpr double target_utilisation = 0.9;
/// Backlog at which throttling of new work begins, and at which it is strongest, seconds. The least
/// urgent jobs can wait for 0.6 s: a sixth of that delays no job past its objective, and at five
/// sixths nearly all new work is refused.
constexpr double min_throttled_backlog_s = 0.1;
constexpr double max_throttled_backlog_s = 0.5;
constexpr double min_intake_share = 0.1;

} // namespace

double usable_share(double backlog_s)
{
    const double throttling =
        (backlog_s - min_throttled_backlog_s) / (max_throttled_backlog_s - min_throttled_backlog_s);
    return target_utilisation * std::clamp(1.0 - throttling, min_intake_share, 1.0);
}

admission_decision decide_admission(const admission_inputs& inputs, absl::Time now)
{
    if (inputs.rate <= 0.0)
    {
        return {false, absl::InfiniteDuration(), now + max_retry};
    }
    const double ahead = inputs.work_ahead / inputs.rate;
    const double backlog = inputs.work_waiting / inputs.rate;
    const auto wait = absl::Seconds(ahead);
    const auto limit = inputs.objective * (1.0 + tolerated_lateness) - inputs.critical_path;
    const bool is_backlogged = backlog > min_throttled_backlog_s;
    if (wait <= std::max(limit, absl::ZeroDuration()) && backlog <= max_backlog_s &&
        (inputs.has_share || !is_backlogged))
    {
        return {true, wait, now};
    }
    const auto excess = std::max({wait - limit, absl::Seconds(backlog - max_backlog_s),
                                  absl::Seconds(inputs.has_share ? 0.0 : backlog)});
    return {false, wait, now + std::clamp(excess, min_retry, max_retry)};
}

} // namespace savoryreach::dispatch
