#include "savoryreach/dispatch/offered_load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

/// Until a queue has been known for this time, its recent load counts as its long-term load.
constexpr absl::Duration warm_up = absl::Seconds(2);
/// Least long-term rate of a queue, core-seconds a second, so that a new queue gets a share.
constexpr double min_long_term_rate = 1.0;
constexpr double negligible = 1e-9;

} // namespace

void offered_load::add(const std::string& queue, double work, absl::Time now)
{
    auto [it, inserted] = queues_.try_emplace(queue);
    if (inserted)
    {
        it->second.first_seen_at = now;
    }
    it->second.recent.add(work, now);
    it->second.long_term.add(work, now);
}

/// The mean over the averaging time, or since the first job for a queue that is known for less.
double offered_load::long_term_rate(const queue_load& it, absl::Time now)
{
    const auto known = now - it.first_seen_at;
    if (known < warm_up)
    {
        return std::max(it.recent.read(now), min_long_term_rate);
    }
    const double observed_share =
        1.0 - std::exp(-absl::FDivDuration(known, queue_load::long_term_period));
    return std::max(it.long_term.read(now) / observed_share, min_long_term_rate);
}

double offered_load::share(const std::string& queue, double rate, absl::Time now) const
{
    // Weighted max-min fairness: shares out the rate in proportion to the long-term load of each
    // queue, starting with the queues that offer least in relation to it.
    std::vector<std::pair<double, std::string>> by_load_ratio; // recent / long-term
    double long_term_left = 0.0;
    for (const auto& [name, it] : queues_)
    {
        by_load_ratio.emplace_back(it.recent.read(now) / long_term_rate(it, now), name);
        long_term_left += long_term_rate(it, now);
    }
    std::ranges::sort(by_load_ratio);
    double rate_left = rate;
    for (const auto& [load_ratio, name] : by_load_ratio)
    {
        const auto& it = queues_.at(name);
        const double level = rate_left / std::max(long_term_left, negligible);
        if (load_ratio <= level)
        {
            rate_left -= it.recent.read(now);
            long_term_left -= long_term_rate(it, now);
            if (name == queue)
            {
                return 1.0;
            }
            continue;
        }
        if (name == queue)
        {
            return level / load_ratio;
        }
    }
    return 1.0;
}

bool offered_load::admit(const std::string& queue, double share)
{
    auto& credit = queues_[queue].credit;
    credit = std::min(credit + share, 2.0);
    if (credit < 1.0)
    {
        return false;
    }
    credit -= 1.0;
    return true;
}

} // namespace savoryreach::dispatch
