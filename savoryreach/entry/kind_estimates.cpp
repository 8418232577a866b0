#include "savoryreach/entry/kind_estimates.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savoryreach::entry
{
namespace
{

/// Samples that the mean of one endpoint remembers; adapts within some 10 tasks.
constexpr double endpoint_memory = 8;
/// Samples that the fleet mean remembers.
constexpr double fleet_memory = 200;
/// A single straggler moves a settled mean by no more than a sample of this many times the mean.
constexpr double outlier_factor = 10;
constexpr double settled_weight = 4;
constexpr absl::Duration age_after = absl::Seconds(10);
constexpr double age_half_life_s = 60;
/// Buckets per octave; neighbours differ by 9 %, less than the error of an estimate.
constexpr double rank_resolution = 8;

std::uint32_t rank_bucket(double seconds)
{
    return static_cast<std::uint32_t>(std::log2(std::max(1.0, seconds * 1e6)) * rank_resolution);
}

} // namespace

void run_time_mean::add(double sample, double count, double memory)
{
    if (count <= 0)
    {
        return;
    }
    if (weight >= settled_weight)
    {
        sample = std::min(sample, outlier_factor * seconds);
    }
    const double counted = std::min(count, memory);
    weight = std::min(memory, weight + counted);
    seconds += (sample - seconds) * std::min(1.0, counted / weight);
}

kind_estimates::cell& kind_estimates::at(id endpoint)
{
    if (endpoint >= cells_.size())
    {
        cells_.resize(endpoint + 1);
    }
    return cells_[endpoint];
}

void kind_estimates::learn(id endpoint, double seconds, double count, absl::Time now)
{
    cell& c = at(endpoint);
    c.mean.add(seconds, count, endpoint_memory);
    c.learned_at = now;
    fleet_.add(seconds, count, fleet_memory);
    move_flight(endpoint);
}

bool kind_estimates::age(id endpoint, absl::Time now)
{
    if (endpoint >= cells_.size())
    {
        return false;
    }
    cell& c = cells_[endpoint];
    const absl::Duration idle = now - c.learned_at;
    if (!c.mean.known() || c.in_flight > 0 || idle < age_after || c.mean.seconds <= fleet_.seconds)
    {
        return false;
    }
    const double kept = std::exp2(-absl::ToDoubleSeconds(idle) / age_half_life_s);
    c.mean.seconds = fleet_.seconds + (c.mean.seconds - fleet_.seconds) * kept;
    c.mean.weight = std::max(1.0, c.mean.weight * kept);
    c.learned_at = now;
    return true;
}

double kind_estimates::fleet_mean(double fallback) const
{
    return fleet_.known() ? fleet_.seconds : fallback;
}

double kind_estimates::expected_at(id endpoint, double fallback) const
{
    if (endpoint < cells_.size() && cells_[endpoint].mean.known())
    {
        return cells_[endpoint].mean.seconds;
    }
    return fleet_mean(fallback);
}

void kind_estimates::list(id endpoint, std::uint32_t data_centre, double factor)
{
    unlist(endpoint);
    cell& c = at(endpoint);
    if (data_centre >= rankings_.size())
    {
        rankings_.resize(data_centre + 1);
    }
    c.position = {rank_bucket(expected_at(endpoint, 0) * factor), ++uses_, endpoint};
    c.data_centre = data_centre;
    c.listed = true;
    rankings_[data_centre].insert(c.position);
    ++listed_;
}

void kind_estimates::unlist(id endpoint)
{
    if (!is_listed(endpoint))
    {
        return;
    }
    cell& c = cells_[endpoint];
    rankings_[c.data_centre].erase(c.position);
    c.listed = false;
    --listed_;
}

double kind_estimates::seconds_of(const rank& position)
{
    return std::exp2(position.bucket / rank_resolution) * 1e-6;
}

bool kind_estimates::is_listed(id endpoint) const
{
    return endpoint < cells_.size() && cells_[endpoint].listed;
}

std::uint32_t kind_estimates::flight_bucket_of(double seconds)
{
    const double position = 2 * std::log2(std::max(1.0, seconds * 1e6));
    return static_cast<std::uint32_t>(std::min<double>(flight_buckets - 1, std::ceil(position)));
}

void kind_estimates::move_flight(id endpoint)
{
    cell& c = cells_[endpoint];
    const std::uint32_t bucket = flight_bucket_of(expected_at(endpoint, 0));
    in_flight_[c.flight_bucket] -= c.in_flight;
    c.flight_bucket = bucket;
    in_flight_[bucket] += c.in_flight;
}

void kind_estimates::start(id endpoint)
{
    cell& c = at(endpoint);
    if (c.in_flight == 0)
    {
        c.flight_bucket = flight_bucket_of(expected_at(endpoint, 0));
    }
    ++c.in_flight;
    ++in_flight_[c.flight_bucket];
}

void kind_estimates::end(id endpoint)
{
    cell& c = at(endpoint);
    if (c.in_flight > 0)
    {
        --c.in_flight;
        --in_flight_[c.flight_bucket];
    }
}

void kind_estimates::forget_in_flight(id endpoint)
{
    cell& c = at(endpoint);
    in_flight_[c.flight_bucket] -= c.in_flight;
    c.in_flight = 0;
}

double kind_estimates::completion_by_waiting(double tasks, double limit) const
{
    static const std::array<double, flight_buckets> runs = []
    {
        std::array<double, flight_buckets> values{};
        for (std::size_t i = 0; i < flight_buckets; ++i)
        {
            values[i] = std::exp2(0.5 * static_cast<double>(i)) * 1e-6;
        }
        return values;
    }();
    double best = std::numeric_limits<double>::infinity();
    double rate = 0; // slots that become free per second at endpoints up to this run time
    // Bucket 0 holds endpoints without any estimate.
    for (std::size_t bucket = 1; bucket < flight_buckets; ++bucket)
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
