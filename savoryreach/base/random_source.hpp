#ifndef SAVORYREACH_BASE_RANDOM_SOURCE_HPP
#define SAVORYREACH_BASE_RANDOM_SOURCE_HPP

#include <cstdint>

namespace savoryreach::base
{

/// Source of random numbers for the cores; seeded in tests so that a run can be repeated.
class random_source
{
public:
    virtual ~random_source() = default;

    /// A uniformly distributed 64-bit number.
    virtual std::uint64_t next() = 0;

    /// A uniformly distributed number in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound);

    /// A uniformly distributed number in [0, 1).
    double unit();
};

} // namespace savoryreach::base

#endif
