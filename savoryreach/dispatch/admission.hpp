#ifndef SAVORYREACH_DISPATCH_ADMISSION_HPP
#define SAVORYREACH_DISPATCH_ADMISSION_HPP

#include <absl/time/time.h>

#include <compare>

namespace savoryreach::dispatch
{

/// State of the system when a job arrives.
struct admission_inputs
{
    double work_ahead = 0.0;      ///< core-seconds of waiting tasks that precede the job
    double work_waiting = 0.0;    ///< core-seconds of all waiting tasks
    bool has_share = true;        ///< the job is within its queue's share of the capacity
    double rate = 0.0;            ///< core-seconds that all usable endpoints complete in a second
    absl::Duration critical_path; ///< longest chain of dependent expected run times
    absl::Duration objective;     ///< time until the job should have ended
};

struct admission_decision
{
    bool accepted = false;
    absl::Duration expected_wait; ///< until the job's tasks start
    absl::Time retry_at;          ///< when a refused job would be accepted if no other came

    friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// Share of the endpoints' rate that new work may use while \p backlog_s seconds of work wait.
/// After a loss of endpoints under load, the accepted work exceeds the capacity; without a lower
/// intake all jobs would be late until the load falls.
[[nodiscard]] double usable_share(double backlog_s);

/// Decides whether a job is accepted. Under bursts beyond the capacity, a job whose tasks would
/// wait for longer than its objective allows is refused at once, so that accepted jobs end by their
/// objective and refused jobs use no capacity.
[[nodiscard]] admission_decision decide_admission(const admission_inputs& inputs, absl::Time now);

} // namespace savoryreach::dispatch

#endif
