#ifndef SAVORYREACH_DAEMON_SUBMISSION_JSON_HPP
#define SAVORYREACH_DAEMON_SUBMISSION_JSON_HPP

#include "savoryreach/base/error.hpp"
#include "schema/generated/job.pb.h"

#include <optional>
#include <string>

namespace savoryreach::daemon
{

/// Bounds of a submission; docs/callers.md documents them for callers.
inline constexpr int max_tasks = 970;
inline constexpr std::size_t max_id_bytes = 128;
inline constexpr std::uint32_t max_time_budget_ms = 600'000;
inline constexpr std::uint32_t max_urgency = 9;
inline constexpr std::uint32_t newest_schema_version = 2;

/// Reads the JSON body of POST /v1/jobs and checks all of it.
class submission_reader
{
public:
    /// Returns the submission, or nullopt when the body is invalid; see last_reason().
    [[nodiscard]] std::optional<schema::submission> read(const std::string& body);

    /// Reason for which the last read failed; the text names the field.
    [[nodiscard]] const base::reason& last_reason() const { return last_reason_; }

private:
    base::reason last_reason_; ///< of the last read that failed
};

/// The JSON body of an answer; see docs/callers.md.
[[nodiscard]] std::string answer_to_json(const schema::job_answer& answer);

/// The answer to a submission that is refused before a job exists.
[[nodiscard]] schema::job_answer refused_answer(const std::string& submission_id,
                                                const base::reason& reason);

} // namespace savoryreach::daemon

#endif
