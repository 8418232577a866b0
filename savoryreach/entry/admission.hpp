#ifndef SAVORYREACH_ENTRY_ADMISSION_HPP
#define SAVORYREACH_ENTRY_ADMISSION_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/base/random_source.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::entry
{

/// The load that an admission decision is based on.
struct admission_load
{
    std::size_t jobs = 0;
    std::size_t max_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t max_waiting_tasks = 0;
    std::uint32_t usable_slots = 0; ///< slots for the job's kind
    std::uint32_t live_entries = 1; ///< entries that share these slots
    double share = 1.0;             ///< fraction of the slots available to the kind and team
    std::size_t waiting_ahead = 0;  ///< waiting tasks of the same kind and team or ahead of them
    absl::Duration expected_run;    ///< of one task
    bool can_ever_run = true;
    std::uint32_t team_slots_in_use = 0;
    std::uint32_t team_slot_limit = 0; ///< 0 means no bound
    bool has_spare_capacity = true;
};

/// A job submitted for admission.
struct admission_request
{
    std::uint32_t tasks = 0;
    absl::Duration time_budget;
    absl::Duration max_wait; ///< zero means the time budget
};

/// The refusal of a job of which nothing has run or will run.
struct refusal
{
    base::reason reason;
    absl::Duration retry_after; ///< with jitter, at most max_refusal_retry

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Upper bound of refusal::retry_after. An entry that becomes the home of a submission, the entry
/// responsible for it, holds an unknown submission for this time, because it does not know the
/// refusals of the previous home.
inline constexpr absl::Duration max_refusal_retry = absl::Seconds(1);

/// Checks in constant time whether a job can be admitted; returns the refusal if it cannot.
[[nodiscard]] std::optional<refusal> check_admission(const admission_request& request,
                                                     const admission_load& load,
                                                     base::random_source& random);

/// A refusal of \p kind with a jittered retry time.
[[nodiscard]] refusal make_refusal(base::error_kind kind, std::string text,
                                   base::random_source& random);

} // namespace savoryreach::entry

#endif
