#include "savoryreach/dispatch/answer_time.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

/// Weights of a sample in the mean and in the deviation, and the number of deviations allowed, as
/// in RFC 6298.
constexpr double mean_weight = 0.125;
constexpr double deviation_weight = 0.25;
constexpr double deviations_allowed = 4.0;
/// Bounds of the time. The lower one exceeds the pauses of a busy agent process, the upper one is
/// short beside a lease.
constexpr absl::Duration min_resend_after = absl::Milliseconds(20);
constexpr absl::Duration max_resend_after = absl::Milliseconds(100);

} // namespace

void answer_time::learn(absl::Duration took)
{
    if (!has_sample_)
    {
        has_sample_ = true;
        mean_ = took;
        deviation_ = took / 2;
        return;
    }
    const auto error = took - mean_;
    mean_ += error * mean_weight;
    deviation_ += (absl::AbsDuration(error) - deviation_) * deviation_weight;
}

absl::Duration answer_time::resend_after() const
{
    return std::clamp(mean_ + deviation_ * deviations_allowed, min_resend_after, max_resend_after);
}

} // namespace savoryreach::dispatch
