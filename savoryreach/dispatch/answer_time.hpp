#ifndef SAVORYREACH_DISPATCH_ANSWER_TIME_HPP
#define SAVORYREACH_DISPATCH_ANSWER_TIME_HPP

#include <absl/time/time.h>

namespace savoryreach::dispatch
{

/// Learns how long an endpoint takes to answer a call, as mean and mean deviation (the estimator of
/// TCP's retransmission timer), and derives when an unanswered call is sent again.
class answer_time
{
public:
    void learn(absl::Duration took);
    /// Time after which nearly all calls have been answered.
    [[nodiscard]] absl::Duration resend_after() const;

private:
    bool has_sample_ = false;
    absl::Duration mean_;
    absl::Duration deviation_;
};

} // namespace savoryreach::dispatch

#endif
