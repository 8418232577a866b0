#ifndef SAVORYREACH_BASE_SYSTEM_CLOCK_HPP
#define SAVORYREACH_BASE_SYSTEM_CLOCK_HPP

#include "savoryreach/base/clock.hpp"

namespace savoryreach::base
{

/// Monotonic time of this host since an arbitrary start.
[[nodiscard]] absl::Time steady_now();

/// The clocks of the operating system, for daemons.
class system_clock final : public clock
{
public:
    [[nodiscard]] absl::Time now() const override { return steady_now(); }
    [[nodiscard]] absl::Time wall_now() const override;
};

} // namespace savoryreach::base

#endif
