#ifndef SAVORYREACH_SIMULATION_VIRTUAL_CLOCK_HPP
#define SAVORYREACH_SIMULATION_VIRTUAL_CLOCK_HPP

#include "savoryreach/base/clock.hpp"

namespace savoryreach::simulation
{

/// A clock that stands still until the test moves it.
class virtual_clock final : public base::clock
{
public:
    [[nodiscard]] absl::Time now() const override { return now_; }
    [[nodiscard]] absl::Time wall_now() const override { return now_; }

    void advance(absl::Duration by) { now_ += by; }
    void set(absl::Time to) { now_ = to; }

private:
    absl::Time now_ = absl::FromUnixSeconds(1'000'000); ///< an arbitrary start
};

} // namespace savoryreach::simulation

#endif
