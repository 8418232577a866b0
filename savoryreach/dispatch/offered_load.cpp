#include "savoryreach/dispatch/offered_load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

/// Until a queue is known for this long its present load counts as usual.
constexpr absl::Duration warm_up = absl::Seconds(2);
/// Least usual rate of a queue, core-seconds a second: a new queue gets something.
constexpr double least_usual = 1.0;
constexpr double negligible = 1e-9;

} // namespace

void offered_load::note(const std::string& queue, double work, absl::Time now)
{
    auto [it, fresh] = queues_.try_emplace(queue);
    if (fresh)
    {
        it->second.since = now;
    }
    it->second.lately.add(work, now);
    it->second.usually.add(work, now);
}

/// The mean over the time that the queue is known, for one that is known for less than the period.
double offered_load::usual(const queue_load& it, absl::Time now)
{
    const auto known = now - it.since;
    if (known < warm_up)
    {
        return std::max(it.lately.read(now), least_usual);
    }
    const double seen = 1.0 - std::exp(-absl::FDivDuration(known, queue_load::usual_period));
    return std::max(it.usually.read(now) / seen, least_usual);
}

double offered_load::share(const std::string& queue, double rate, absl::Time now) const
{
    // Fills up the queues in proportion to what is usual for each, those that want least first.
    std::vector<std::pair<double, const std::string*>> by_need; // offered / usual
    double usual_left = 0.0;
    for (const auto& [name, it] : queues_)
    {
        by_need.emplace_back(it.lately.read(now) / usual(it, now), &name);
        usual_left += usual(it, now);
    }
    std::ranges::sort(by_need);
    double rate_left = rate;
    for (const auto& [need, name] : by_need)
    {
        const auto& it = queues_.at(*name);
        const double level = rate_left / std::max(usual_left, negligible);
        if (need <= level)
        {
            rate_left -= it.lately.read(now);
            usual_left -= usual(it, now);
            if (*name == queue)
            {
                return 1.0;
            }
            continue;
        }
        if (*name == queue)
        {
            return level / need;
        }
    }
    return 1.0;
}

bool offered_load::take(const std::string& queue, double share)
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
