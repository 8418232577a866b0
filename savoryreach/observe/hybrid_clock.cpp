#include "savoryreach/observe/hybrid_clock.hpp"

#include <algorithm>

namespace savoryreach::observe
{
namespace
{

constexpr unsigned counter_bits = 16;

std::uint64_t from_ms(std::int64_t ms)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)) << counter_bits;
}

} // namespace

std::uint64_t hybrid_clock::now()
{
    return advance(0);
}

std::uint64_t hybrid_clock::receive(std::uint64_t remote)
{
    const std::uint64_t bound = from_ms(absl::ToUnixMillis(clock_.wall_now()) + max_ahead_ms);
    return advance(remote < bound ? remote : 0);
}

std::uint64_t hybrid_clock::advance(std::uint64_t at_least)
{
    const std::uint64_t wall = from_ms(absl::ToUnixMillis(clock_.wall_now()));
    std::uint64_t last = last_.load();
    for (;;)
    {
        const std::uint64_t next = std::max(wall, std::max(last, at_least) + 1);
        if (last_.compare_exchange_weak(last, next))
        {
            return next;
        }
    }
}

absl::Time hybrid_clock::time_of(std::uint64_t value)
{
    return absl::FromUnixMillis(static_cast<std::int64_t>(value >> counter_bits));
}

std::uint64_t hybrid_clock::first_at(absl::Time at)
{
    return from_ms(absl::ToUnixMillis(at));
}

} // namespace savoryreach::observe
