#ifndef SAVORYREACH_ENTRY_ANSWERS_HPP
#define SAVORYREACH_ENTRY_ANSWERS_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/entry/job.hpp"
#include "schema/generated/job.pb.h"

#include <absl/time/time.h>

#include <string>

namespace savoryreach::entry
{

/// The answer for a job that has not ended.
[[nodiscard]] schema::job_answer running_answer(const std::string& submission_id);

/// A failed answer that claims \p not_run about what ran and gives no number of started tasks.
[[nodiscard]] schema::job_answer error_answer(const std::string& submission_id,
                                              const base::reason& why, base::not_run not_run,
                                              absl::Duration retry_after = absl::ZeroDuration());

/// The failed answer to a copy whose content differs from that of the known submission.
[[nodiscard]] schema::job_answer conflict_answer(const std::string& submission_id);

/// The complete answer of a job whose tasks have all succeeded.
[[nodiscard]] schema::job_answer complete_answer(const job& it, absl::Time now);

/// The failed answer of a job. Its not_run claim follows from the states of its tasks.
[[nodiscard]] schema::job_answer failed_answer(const job& it, const base::reason& why,
                                               absl::Time now);

[[nodiscard]] schema::not_run_claim to_schema(base::not_run not_run);

/// Sets the retry time of \p answer, rounded up to whole milliseconds, so that a copy sent after
/// this time arrives after the deadline of the remembered refusal.
void set_retry_after(schema::job_answer& answer, absl::Duration retry_after);

} // namespace savoryreach::entry

#endif
