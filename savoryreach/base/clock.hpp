#ifndef SAVORYREACH_BASE_CLOCK_HPP
#define SAVORYREACH_BASE_CLOCK_HPP

#include <absl/time/time.h>

namespace savoryreach::base
{

/// Source of time for the cores. Cores never read a system clock themselves, so that tests can run
/// them on virtual time.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time of this process; only differences and comparisons have a meaning.
    [[nodiscard]] virtual absl::Time now() const = 0;

    /// Wall-clock time; may step. Used for retention and for the time line only.
    [[nodiscard]] virtual absl::Time wall_now() const = 0;
};

} // namespace savoryreach::base

#endif
