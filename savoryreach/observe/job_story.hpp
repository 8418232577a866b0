#ifndef SAVORYREACH_OBSERVE_JOB_STORY_HPP
#define SAVORYREACH_OBSERVE_JOB_STORY_HPP

#include "savoryreach/observe/timeline.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace savoryreach::observe
{

/// What became of one job of the fleet, by the log lines of its processes, and why.
struct job_story
{
    std::string submission;
    std::string outcome;             ///< as the log names it; empty when no end was logged
    std::vector<std::string> causes; ///< in words, the weightiest first
    absl::Duration waited;           ///< from the arrival to the first start
    absl::Duration repeated;         ///< from the first start to the last one
    absl::Duration last_run;         ///< from the last start to the end
    absl::Duration total;
    std::vector<event_line> lines; ///< those that concern the job, in order
    bool has_gaps = false;         ///< lines of these kinds were left out in that time

    [[nodiscard]] std::string to_text() const;
};

/// Nullopt when no line names the job.
[[nodiscard]] std::optional<job_story> tell_job(const timeline& events,
                                                const std::string& submission);

} // namespace savoryreach::observe

#endif
