#ifndef SAVORYREACH_LOAD_FLEET_HPP
#define SAVORYREACH_LOAD_FLEET_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryreach::load
{

/// The true properties of one endpoint.
struct endpoint_spec
{
    double speed = 1; ///< work seconds per second and slot
    std::size_t data_centre = 0;
    std::uint32_t slots = 8;
    bool failing = false; ///< every task fails at once
};

struct fleet_shape
{
    std::size_t endpoints = 10;
    std::uint32_t slots = 8;
    double slowest = 0.5;
    double fastest = 3;
    std::size_t data_centres = 3;
    std::size_t failing = 0; ///< number of failing endpoints
};

/// The endpoints and what follows from their true speeds.
class fleet
{
public:
    /// Speeds are spread geometrically over the range and dealt out by \p seed.
    fleet(const fleet_shape& shape, std::uint64_t seed);

    [[nodiscard]] const std::vector<endpoint_spec>& endpoints() const { return endpoints_; }
    /// Work seconds per second of the endpoints that don't fail.
    [[nodiscard]] double capacity() const { return capacity_; }
    /// Lower bound of the response time of a job with these work seconds, seconds: the longest
    /// tasks on the fastest slots of an empty fleet, without any network delay.
    [[nodiscard]] double ideal(std::vector<double> work) const;

private:
    std::vector<endpoint_spec> endpoints_;
    std::vector<double> speed_sums_; ///< of the n+1 fastest slots
    double capacity_ = 0;
};

} // namespace savoryreach::load

#endif
