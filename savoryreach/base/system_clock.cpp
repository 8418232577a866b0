#include "savoryreach/base/system_clock.hpp"

#include <absl/time/clock.h>

#include <chrono>

namespace savoryreach::base
{

absl::Time steady_now()
{
    return absl::UnixEpoch() +
           absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

absl::Time system_clock::wall_now() const
{
    return absl::Now();
}

} // namespace savoryreach::base
