#include "savoryreach/base/system_clock.hpp"

#include <chrono>
#include <ctime>

namespace savoryreach::base
{

absl::Time steady_now()
{
    // CLOCK_MONOTONIC stands still while the host is suspended; a lease must not.
    timespec now = {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return absl::TimeFromTimespec(now);
}

absl::Time system_clock::wall_now() const
{
    // absl::Now() interpolates by the processor's cycle counter and drifts on slowed hosts.
    return absl::FromChrono(std::chrono::system_clock::now());
}

} // namespace savoryreach::base
