#include "savoryreach/dispatch/speed_model.hpp"

#include <algorithm>
#include <cmath>

namespace savoryreach::dispatch
{
namespace
{

/// Weight of a new sample once there are many: about the last 12 jobs count, which is a second of
/// short tasks.
constexpr double steady_weight = 0.08;
/// The usual speed of an endpoint follows over some hundred tasks.
constexpr double usual_weight = 0.01;
/// The spread of run times is a property of the work and changes slowly: some hundred tasks count.
constexpr double variance_weight = 0.01;
/// An idle endpoint's estimate returns to its usual speed within this time: half of what a fault of
/// an endpoint lasts.
constexpr absl::Duration relax_period = absl::Seconds(3);
/// An estimate of another process weighs like this many tasks.
constexpr std::uint32_t adopted_samples = 8;
/// A queue's bias follows slower than the speeds, so that one slow endpoint does not shift it.
constexpr double bias_weight = 0.02;
/// Weight of what running tasks show; it is looked at every 50 ms.
constexpr double slowness_weight = 0.3;
/// Samples after which the weight of a queue's bias is steady.
constexpr double bias_warm_up = 50.0;
/// Greatest deviation that counts for the spread: beyond it the endpoint has changed.
constexpr double largest_deviation = 1.0;
/// Greatest ratio that one sample may claim, either way.
constexpr double largest_log_ratio = 3.0;

double log_ratio(absl::Duration declared, absl::Duration actual)
{
    const auto floor = absl::Milliseconds(1);
    const double ratio = absl::FDivDuration(std::max(actual, floor), std::max(declared, floor));
    return std::clamp(std::log(ratio), -largest_log_ratio, largest_log_ratio);
}

} // namespace

std::optional<absl::Duration> whole_run_time(std::uint32_t percent, absl::Duration ran)
{
    /// From this share on the whole run time is known to a tenth.
    constexpr std::uint32_t telling_percent = 10;
    constexpr std::uint32_t whole_percent = 100;
    return percent >= telling_percent ? std::optional(ran * whole_percent / percent) : std::nullopt;
}

double speed_model::log_speed(const std::string& endpoint) const
{
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() ? 0.0 : it->second.log_value;
}

double speed_model::log_bias(const std::string& queue) const
{
    const auto it = queues_.find(queue);
    return it == queues_.end() ? 0.0 : it->second.log_value;
}

void speed_model::learn(const std::string& endpoint, const std::string& queue, std::uint64_t job,
                        absl::Duration declared, absl::Duration actual)
{
    const double sample = log_ratio(declared, actual);
    auto& host = endpoints_[endpoint];
    auto& bias = queues_[queue];
    const double host_sample = bias.log_value - sample;
    const double off =
        std::clamp(host_sample - host.log_value, -largest_deviation, largest_deviation);
    variance_ += variance_weight * (off * off - variance_);
    host.in_a_row = job == host.last_job && host.in_a_row > 0 ? host.in_a_row + 1 : 1;
    host.last_job = job;
    host.samples += host.in_a_row == 1 ? 1 : 0;
    const double first = 1.0 / (1.0 + host.samples);
    host.log_value +=
        std::max(steady_weight, first) / host.in_a_row * (host_sample - host.log_value);
    host.log_usual +=
        std::max(usual_weight, first) / host.in_a_row * (host_sample - host.log_usual);
    ++bias.samples;
    const double slow = std::max(bias_weight, 1.0 / (bias_warm_up + bias.samples));
    bias.log_value += slow * (sample + host.log_value - bias.log_value);
}

void speed_model::learn_slowness(const std::string& endpoint, const std::string& queue,
                                 absl::Duration declared, absl::Duration elapsed)
{
    const double bound = log_bias(queue) - log_ratio(declared, elapsed);
    auto& host = endpoints_[endpoint];
    if (bound < host.log_value)
    {
        host.log_value += slowness_weight * (bound - host.log_value);
    }
}

void speed_model::forget(const std::string& endpoint)
{
    endpoints_.erase(endpoint);
}

void speed_model::adopt(const std::string& endpoint, double speed)
{
    if (speed > 0.0 && !knows(endpoint))
    {
        const double value = std::clamp(std::log(speed), -largest_log_ratio, largest_log_ratio);
        endpoints_[endpoint] = {value, value, adopted_samples, 0, 0};
    }
}

void speed_model::relax(const std::string& endpoint, absl::Duration idle)
{
    if (const auto it = endpoints_.find(endpoint); it != endpoints_.end())
    {
        const double share = std::min(absl::FDivDuration(idle, relax_period), 1.0);
        it->second.log_value += share * (it->second.log_usual - it->second.log_value);
    }
}

bool speed_model::knows(const std::string& endpoint) const
{
    return endpoints_.contains(endpoint);
}

double speed_model::speed(const std::string& endpoint) const
{
    return std::exp(log_speed(endpoint));
}

double speed_model::throughput(const std::string& endpoint) const
{
    return std::exp(log_speed(endpoint) - variance_ / 2.0);
}

absl::Duration speed_model::expected(const std::string& endpoint, const std::string& queue,
                                     absl::Duration declared) const
{
    return declared * std::exp(log_bias(queue) - log_speed(endpoint));
}

absl::Duration speed_model::expected(const std::string& queue, absl::Duration declared) const
{
    return declared * std::exp(log_bias(queue));
}

} // namespace savoryreach::dispatch
