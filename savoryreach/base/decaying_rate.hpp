#ifndef SAVORYREACH_BASE_DECAYING_RATE_HPP
#define SAVORYREACH_BASE_DECAYING_RATE_HPP

#include <absl/time/time.h>

namespace savoryreach::base
{

/// Rate of something that comes in portions: a mean in which older portions weigh exponentially
/// less.
class decaying_rate
{
public:
    /// \p period after which a portion weighs 1/e.
    explicit decaying_rate(absl::Duration period) : period_(period) {}

    void add(double portion, absl::Time now);
    /// A second; 0 before the first portion.
    [[nodiscard]] double read(absl::Time now) const;

private:
    absl::Duration period_;
    double value_ = 0.0; ///< at `at_`
    absl::Time at_ = absl::InfinitePast();
};

} // namespace savoryreach::base

#endif
