#include "tools/load/fleet.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace savoryreach::load
{

fleet::fleet(const fleet_shape& shape, std::uint64_t seed)
{
    base::seeded_random random(seed);
    for (std::size_t i = 0; i < shape.endpoints; ++i)
    {
        const double position =
            shape.endpoints > 1 ? static_cast<double>(i) / static_cast<double>(shape.endpoints - 1)
                                : 1;
        endpoint_spec it;
        it.speed = shape.slowest * std::pow(shape.fastest / shape.slowest, position);
        it.slots = shape.slots;
        endpoints_.push_back(it);
    }
    for (std::size_t i = endpoints_.size(); i > 1; --i)
    {
        std::swap(endpoints_[i - 1], endpoints_[random.below(i)]);
    }
    std::vector<double> speeds;
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
    {
        endpoints_[i].data_centre = i % shape.data_centres;
        endpoints_[i].failing = i < shape.failing;
        if (!endpoints_[i].failing)
        {
            speeds.insert(speeds.end(), endpoints_[i].slots, endpoints_[i].speed);
        }
    }
    std::ranges::sort(speeds, std::greater<>());
    for (const double speed : speeds)
    {
        capacity_ += speed;
        speed_sums_.push_back(capacity_);
    }
}

double fleet::ideal(std::vector<double> work) const
{
    // Optimal completion of preemptive work on uniform machines; no schedule is shorter.
    std::ranges::sort(work, std::greater<>());
    double bound = 0;
    double sum = 0;
    for (std::size_t i = 0; i < work.size(); ++i)
    {
        sum += work[i];
        bound = std::max(bound, sum / speed_sums_[std::min(i, speed_sums_.size() - 1)]);
    }
    return bound;
}

} // namespace savoryreach::load
