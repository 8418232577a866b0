#include "savoryreach/base/random_source.hpp"

#include <cassert>

namespace savoryreach::base
{

std::uint64_t random_source::below(std::uint64_t bound)
{
    assert(bound > 0);
    // The high half of a 128-bit product avoids the modulo bias of next() % bound.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * bound) >> 64U);
}

double random_source::unit()
{
    constexpr double two_to_minus_53 = 0x1.0p-53;
    return static_cast<double>(next() >> 11U) * two_to_minus_53;
}

} // namespace savoryreach::base
