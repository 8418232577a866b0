#include "savoryreach/base/decaying_rate.hpp"

#include <cmath>

namespace savoryreach::base
{

void decaying_rate::add(double portion, absl::Time now)
{
    value_ = read(now) + portion / absl::ToDoubleSeconds(period_);
    at_ = now;
}

double decaying_rate::read(absl::Time now) const
{
    return value_ > 0.0 ? value_ * std::exp(-absl::FDivDuration(now - at_, period_)) : 0.0;
}

} // namespace savoryreach::base
