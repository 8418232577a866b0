#ifndef SAVORYREACH_DISPATCH_TRACKED_RUN_HPP
#define SAVORYREACH_DISPATCH_TRACKED_RUN_HPP

#include "savoryreach/dispatch/endpoint_calls.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace savoryreach::dispatch
{

/// A stop call that is repeated until it is answered.
struct stop_state
{
    std::uint32_t sent = 0;                        ///< number of copies
    absl::Time resend_at = absl::InfiniteFuture(); ///< when the next copy is sent
    absl::Time answered_at = absl::InfiniteFuture();
};

/// A run on the endpoint, or a start that may become one.
struct tracked_run
{
    std::uint32_t attempt = 0;
    resources demand;
    absl::Duration declared; ///< run time as declared by the caller; zero if unknown
    bool confirmed = false;
    absl::Time confirmed_at;
    bool start_time_known = false; ///< confirmed_at is the start time of the run
    std::uint32_t percent = 0;     ///< share of its work that was done at percent_at
    absl::Time percent_at;
    start_call call;                               ///< kept for resending; latest copy
    bool gave_up = false;                          ///< the start call is not sent again
    std::vector<absl::Time> sent_at;               ///< of each copy of the start call
    absl::Time resend_at = absl::InfiniteFuture(); ///< when the next copy is sent
    stop_state stop;
};

} // namespace savoryreach::dispatch

#endif
