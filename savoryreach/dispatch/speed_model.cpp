#include "savoryreach/dispatch/speed_model.hpp"

#include <algorithm>
#include <cmath>

namespace savoryreach::dispatch
{
namespace
{

/// Weight of a new sample once there are many: the estimate follows about the last 12 jobs, which
/// is a second of short tasks.
constexpr double steady_weight = 0.08;
/// Weight of a sample in the long-term speed, which follows about the last hundred tasks.
constexpr double long_term_weight = 0.01;
/// Weight of a sample in the variance, which depends on the work and changes slowly: it follows
/// about the last hundred tasks.
constexpr double variance_weight = 0.01;
/// Time in which the estimate of an idle endpoint returns to its long-term speed: half of the
/// duration of a typical endpoint fault.
constexpr absl::Duration relax_period = absl::Seconds(3);
/// Number of samples that an imported estimate counts as.
constexpr std::uint32_t imported_samples = 8;
/// Weight of a sample in a queue's bias: lower than for speeds, so that one slow endpoint does not
/// shift it.
constexpr double bias_weight = 0.02;
/// Weight of the bound given by running tasks, which is applied every 50 ms.
constexpr double slowness_weight = 0.3;
/// Least weight of a sample in the slowness of cold endpoints: it follows about the last 50 tasks.
constexpr double cold_weight = 0.02;
/// Samples that are added to a queue's count, so that its first samples weigh little.
constexpr double bias_warm_up = 50.0;
/// Greatest deviation that counts in the variance: a greater one is a change of the endpoint.
constexpr double largest_deviation = 1.0;
/// Bound of a sample's logarithmic ratio, in both directions.
constexpr double largest_log_ratio = 3.0;

double log_ratio(absl::Duration declared, absl::Duration actual)
{
    const auto min_time = absl::Milliseconds(1);
    const double ratio =
        absl::FDivDuration(std::max(actual, min_time), std::max(declared, min_time));
    return std::clamp(std::log(ratio), -largest_log_ratio, largest_log_ratio);
}

} // namespace

std::optional<absl::Duration> projected_run_time(std::uint32_t percent, absl::Duration ran)
{
    /// Above this share the estimate of the total run time is accurate to a tenth.
    constexpr std::uint32_t min_percent = 10;
    constexpr std::uint32_t whole_percent = 100;
    return percent >= min_percent ? std::optional(ran * whole_percent / percent) : std::nullopt;
}

double speed_model::log_warm_speed(const std::string& endpoint) const
{
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() ? 0.0 : it->second.log_value;
}

double speed_model::log_speed(const std::string& endpoint) const
{
    const bool is_cold = !cold_.empty() && cold_.contains(endpoint);
    return log_warm_speed(endpoint) - (is_cold ? log_cold_ : 0.0);
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
    const double deviation =
        std::clamp(host_sample - host.log_value, -largest_deviation, largest_deviation);
    variance_ += variance_weight * (deviation * deviation - variance_);
    host.successive_samples =
        job == host.last_job && host.successive_samples > 0 ? host.successive_samples + 1 : 1;
    host.last_job = job;
    host.samples += host.successive_samples == 1 ? 1 : 0;
    const double initial_weight = 1.0 / (1.0 + host.samples);
    host.log_value += std::max(steady_weight, initial_weight) / host.successive_samples *
                      (host_sample - host.log_value);
    host.log_long_term += std::max(long_term_weight, initial_weight) / host.successive_samples *
                          (host_sample - host.log_long_term);
    ++bias.samples;
    const double weight = std::max(bias_weight, 1.0 / (bias_warm_up + bias.samples));
    bias.log_value += weight * (sample + host.log_value - bias.log_value);
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

bool speed_model::set_cold(const std::string& endpoint, bool cold)
{
    if (!cold)
    {
        return cold_.erase(endpoint) > 0;
    }
    const bool changed = cold_.insert(endpoint).second;
    if (const auto it = endpoints_.find(endpoint); changed && it != endpoints_.end())
    {
        // The runs of which it was not yet known that they were on a cold endpoint.
        it->second.log_value = it->second.log_long_term;
    }
    return changed;
}

void speed_model::learn_cold(const std::string& endpoint, const std::string& queue,
                             absl::Duration declared, absl::Duration actual)
{
    const double sample = log_ratio(declared, actual) - log_bias(queue) + log_warm_speed(endpoint);
    ++cold_samples_;
    log_cold_ += std::max(cold_weight, 1.0 / (1.0 + cold_samples_)) * (sample - log_cold_);
    log_cold_ = std::clamp(log_cold_, 0.0, largest_log_ratio);
}

double speed_model::cold_speed() const
{
    return std::exp(-log_cold_);
}

void speed_model::forget(const std::string& endpoint)
{
    endpoints_.erase(endpoint);
    cold_.erase(endpoint);
}

void speed_model::import_estimate(const std::string& endpoint, double speed)
{
    if (speed > 0.0 && !has_estimate(endpoint))
    {
        const double value = std::clamp(std::log(speed), -largest_log_ratio, largest_log_ratio);
        endpoints_[endpoint] = {value, value, imported_samples, 0, 0};
    }
}

void speed_model::relax(const std::string& endpoint, absl::Duration idle)
{
    if (const auto it = endpoints_.find(endpoint); it != endpoints_.end())
    {
        const double share = std::min(absl::FDivDuration(idle, relax_period), 1.0);
        it->second.log_value += share * (it->second.log_long_term - it->second.log_value);
    }
}

bool speed_model::has_estimate(const std::string& endpoint) const
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
