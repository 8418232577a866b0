#ifndef SAVORYREACH_BASE_SEEDED_RANDOM_HPP
#define SAVORYREACH_BASE_SEEDED_RANDOM_HPP

#include "savoryreach/base/random_source.hpp"

#include <random>

namespace savoryreach::base
{

/// Random numbers from a 64-bit Mersenne twister; equal seeds give equal sequences on every
/// platform.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_; ///< The standard fixes its output sequence.
};

} // namespace savoryreach::base

#endif
