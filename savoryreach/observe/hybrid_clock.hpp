#ifndef SAVORYREACH_OBSERVE_HYBRID_CLOCK_HPP
#define SAVORYREACH_OBSERVE_HYBRID_CLOCK_HPP

#include "savoryreach/base/clock.hpp"

#include <atomic>
#include <cstdint>

namespace savoryreach::observe
{

/// Hybrid logical clock: wall-clock milliseconds in the upper 48 bits and a counter in the lower
/// 16. Its values rise strictly within a process and from a message's sending to its receipt, so
/// they order the events of several hosts whose clocks differ. Thread-safe.
class hybrid_clock
{
public:
    /// A peer's value further ahead than this is ignored: one wrong clock would otherwise carry
    /// the whole cluster's time lines into the future.
    static constexpr std::int64_t max_ahead_ms = 60'000;

    /// \p clock outlives this object.
    explicit hybrid_clock(const base::clock& clock) : clock_(clock) {}

    /// A new value, higher than all before.
    std::uint64_t now();

    /// Takes in the value of a received message; 0 means that it has none. Returns a new value.
    std::uint64_t receive(std::uint64_t remote);

    /// The wall-clock part of \p value.
    [[nodiscard]] static absl::Time time_of(std::uint64_t value);
    /// The lowest value with the wall-clock part \p at.
    [[nodiscard]] static std::uint64_t first_at(absl::Time at);

private:
    std::uint64_t advance(std::uint64_t at_least);

    const base::clock& clock_;            ///< Gives the wall time.
    std::atomic<std::uint64_t> last_ = 0; ///< Largest value given or received.
};

} // namespace savoryreach::observe

#endif
