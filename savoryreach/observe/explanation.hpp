#ifndef SAVORYREACH_OBSERVE_EXPLANATION_HPP
#define SAVORYREACH_OBSERVE_EXPLANATION_HPP

#include "savoryreach/observe/timeline.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::observe
{

/// Where the response time of one submission went. The answer waits for its last task, so the parts
/// are those of the task whose result came last, over all of its attempts; they add up to `total`.
/// Only differences of one process's wall clock are used, except that the part of a round trip
/// outside of the run is divided between agent and return by the difference of two clocks, bounded
/// by the round trip.
struct explanation
{
    std::string submission;
    std::string task;                 ///< index of the last task
    std::size_t attempts = 0;         ///< of the last task
    absl::Duration claim;             ///< job_accepted to claim_granted
    absl::Duration waiting_at_entry;  ///< claim_granted (or the last attempt's result) to task_sent
    absl::Duration waiting_at_agent;  ///< task_sent to task_started
    absl::Duration run;               ///< task_started to task_ended
    absl::Duration returning;         ///< task_ended to result_received
    absl::Duration answer;            ///< last result_received to job_answered
    absl::Duration total;             ///< job_accepted to job_answered
    std::vector<std::string> missing; ///< events that were not found; their parts are zero

    /// One line per part with its share of the total.
    [[nodiscard]] std::string to_text() const;
};

/// Explains one submission. Nullopt when the time line lacks its acceptance or its answer.
[[nodiscard]] std::optional<explanation> explain(const timeline& events,
                                                 const std::string& submission);

} // namespace savoryreach::observe

#endif
