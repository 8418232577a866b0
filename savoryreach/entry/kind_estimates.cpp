#include "savoryreach/entry/kind_estimates.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savoryreach::entry
{
namespace
{

/// Maximum weight of the mean of one endpoint, which adapts within about 10 tasks.
constexpr double endpoint_mean_samples = 8;
/// Maximum weight of the fleet mean.
constexpr double fleet_mean_samples = 200;
/// A sample counts as at most this many times the mean, once the mean has the minimum weight below.
/// This limits the effect of a single straggler.
constexpr double outlier_factor = 10;
constexpr double min_weight_for_outlier_limit = 4;
constexpr absl::Duration aging_delay = absl::Seconds(10);
constexpr double aging_half_life_s = 60;
/// Buckets per octave; neighbours differ by 9 %, less than the error of an estimate.
constexpr double rank_buckets_per_octave = 8;

std::uint32_t rank_bucket(double seconds)
{
    return static_cast<std::uint32_t>(std::log2(std::max(1.0, seconds * 1e6)) *
                                      rank_buckets_per_octave);
}

} // namespace

void run_time_mean::add(double sample, double count, double max_weight)
{
    if (count <= 0)
    {
        return;
    }
    if (weight >= min_weight_for_outlier_limit)
    {
        sample = std::min(sample, outlier_factor * seconds);
    }
    const double counted = std::min(count, max_weight);
    weight = std::min(max_weight, weight + counted);
    seconds += (sample - seconds) * std::min(1.0, counted / weight);
}

kind_estimates::endpoint_estimate& kind_estimates::at(id endpoint)
{
    if (endpoint >= endpoints_.size())
    {
        endpoints_.resize(endpoint + 1);
    }
    return endpoints_[endpoint];
}

void kind_estimates::add_samples(id endpoint, double seconds, double count, absl::Time now)
{
    endpoint_estimate& e = at(endpoint);
    e.mean.add(seconds, count, endpoint_mean_samples);
    e.sampled_at = now;
    fleet_.add(seconds, count, fleet_mean_samples);
    update_run_time_bucket(endpoint);
}

bool kind_estimates::age(id endpoint, absl::Time now)
{
    if (endpoint >= endpoints_.size())
    {
        return false;
    }
    endpoint_estimate& e = endpoints_[endpoint];
    const absl::Duration idle = now - e.sampled_at;
    if (!e.mean.known() || e.in_flight > 0 || idle < aging_delay ||
        e.mean.seconds <= fleet_.seconds)
    {
        return false;
    }
    const double kept = std::exp2(-absl::ToDoubleSeconds(idle) / aging_half_life_s);
    e.mean.seconds = fleet_.seconds + (e.mean.seconds - fleet_.seconds) * kept;
    e.mean.weight = std::max(1.0, e.mean.weight * kept);
    e.sampled_at = now;
    return true;
}

double kind_estimates::fleet_mean(double fallback) const
{
    return fleet_.known() ? fleet_.seconds : fallback;
}

double kind_estimates::expected_at(id endpoint, double fallback) const
{
    if (endpoint < endpoints_.size() && endpoints_[endpoint].mean.known())
    {
        return endpoints_[endpoint].mean.seconds;
    }
    return fleet_mean(fallback);
}

void kind_estimates::list(id endpoint, std::uint32_t data_centre, double factor)
{
    unlist(endpoint);
    endpoint_estimate& e = at(endpoint);
    if (data_centre >= rankings_.size())
    {
        rankings_.resize(data_centre + 1);
    }
    e.position = {rank_bucket(expected_at(endpoint, 0) * factor), ++last_use_, endpoint};
    e.data_centre = data_centre;
    e.listed = true;
    rankings_[data_centre].insert(e.position);
    ++listed_;
}

void kind_estimates::unlist(id endpoint)
{
    if (!is_listed(endpoint))
    {
        return;
    }
    endpoint_estimate& e = endpoints_[endpoint];
    rankings_[e.data_centre].erase(e.position);
    e.listed = false;
    --listed_;
}

double kind_estimates::seconds_of(const rank& position)
{
    return std::exp2(position.bucket / rank_buckets_per_octave) * 1e-6;
}

bool kind_estimates::is_listed(id endpoint) const
{
    return endpoint < endpoints_.size() && endpoints_[endpoint].listed;
}

std::uint32_t kind_estimates::run_time_bucket_of(double seconds)
{
    const double position = 2 * std::log2(std::max(1.0, seconds * 1e6));
    return static_cast<std::uint32_t>(std::min<double>(run_time_buckets - 1, std::ceil(position)));
}

void kind_estimates::update_run_time_bucket(id endpoint)
{
    endpoint_estimate& e = endpoints_[endpoint];
    const std::uint32_t bucket = run_time_bucket_of(expected_at(endpoint, 0));
    in_flight_[e.run_time_bucket] -= e.in_flight;
    e.run_time_bucket = bucket;
    in_flight_[bucket] += e.in_flight;
}

void kind_estimates::attempt_started(id endpoint)
{
    endpoint_estimate& e = at(endpoint);
    if (e.in_flight == 0)
    {
        e.run_time_bucket = run_time_bucket_of(expected_at(endpoint, 0));
    }
    ++e.in_flight;
    ++in_flight_[e.run_time_bucket];
}

void kind_estimates::attempt_ended(id endpoint)
{
    endpoint_estimate& e = at(endpoint);
    if (e.in_flight > 0)
    {
        --e.in_flight;
        --in_flight_[e.run_time_bucket];
    }
}

void kind_estimates::clear_in_flight(id endpoint)
{
    endpoint_estimate& e = at(endpoint);
    in_flight_[e.run_time_bucket] -= e.in_flight;
    e.in_flight = 0;
}

double kind_estimates::completion_by_waiting(double tasks, double limit) const
{
    static const std::array<double, run_time_buckets> runs = []
    {
        std::array<double, run_time_buckets> values{};
        for (std::size_t i = 0; i < run_time_buckets; ++i)
        {
            values[i] = std::exp2(0.5 * static_cast<double>(i)) * 1e-6;
        }
        return values;
    }();
    double best = std::numeric_limits<double>::infinity();
    double rate = 0; // slots that become free per second at endpoints up to this run time
    // Bucket 0 holds endpoints without any estimate.
    for (std::size_t bucket = 1; bucket < run_time_buckets; ++bucket)
    {
        const double run = runs[bucket];
        if (run >= limit)
        {
            break;
        }
        if (in_flight_[bucket] > 0)
        {
            rate += in_flight_[bucket] / run;
            best = std::min(best, tasks / rate + run);
        }
    }
    return best < limit ? best : std::numeric_limits<double>::infinity();
}

} // namespace savoryreach::entry
