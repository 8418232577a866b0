#include "savoryreach/entry/admission.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

/// Expected number of slots for the job; may be below one.
double expected_slots(const admission_load& load)
{
    // Unused shares are available to all, so the whole fleet counts while there is spare capacity.
    const double share = load.has_spare_capacity ? 1.0 : load.share;
    double slots = load.usable_slots * share / std::max<std::uint32_t>(1, load.live_entries);
    if (load.team_slot_limit > 0)
    {
        slots = std::min(slots, static_cast<double>(load.team_slot_limit));
    }
    return slots;
}

std::optional<refusal> check_deadline(const admission_request& request, const admission_load& load,
                                      base::random_source& random)
{
    const double slots = expected_slots(load);
    if (slots <= 0)
    {
        return make_refusal(base::error_kind::deadline_unreachable,
                            "no endpoint of this kind is usable now", random);
    }
    const absl::Duration per_task = load.expected_run / slots;
    const absl::Duration wait = per_task * static_cast<double>(load.waiting_ahead);
    const absl::Duration work =
        std::max(load.expected_run, per_task * static_cast<double>(request.tasks));
    if (request.max_wait > absl::ZeroDuration() && wait > request.max_wait)
    {
        return make_refusal(base::error_kind::deadline_unreachable,
                            absl::StrCat("estimated wait ", absl::FormatDuration(wait),
                                         " exceeds the longest admissible wait ",
                                         absl::FormatDuration(request.max_wait)),
                            random);
    }
    if (wait + work > request.time_budget)
    {
        return make_refusal(base::error_kind::deadline_unreachable,
                            absl::StrCat("estimated time ", absl::FormatDuration(wait + work),
                                         " exceeds the time budget ",
                                         absl::FormatDuration(request.time_budget)),
                            random);
    }
    return std::nullopt;
}

} // namespace

std::optional<refusal> check_admission(const admission_request& request, const admission_load& load,
                                       base::random_source& random)
{
    if (!load.can_ever_run)
    {
        return make_refusal(base::error_kind::never_runnable, "no endpoint accepts this kind",
                            random);
    }
    if (load.jobs >= load.max_jobs)
    {
        return make_refusal(base::error_kind::queue_full,
                            absl::StrCat("at the bound of ", load.max_jobs, " jobs"), random);
    }
    if (load.waiting_tasks + request.tasks > load.max_waiting_tasks)
    {
        return make_refusal(
            base::error_kind::queue_full,
            absl::StrCat(load.waiting_tasks, " tasks wait, the bound is ", load.max_waiting_tasks),
            random);
    }
    if (load.team_slot_limit > 0 && load.team_slots_in_use >= load.team_slot_limit &&
        !load.has_spare_capacity)
    {
        return make_refusal(base::error_kind::over_quota,
                            absl::StrCat("the team holds all of its ", load.team_slot_limit,
                                         " slots and there is no spare capacity"),
                            random);
    }
    return check_deadline(request, load, random);
}

refusal make_refusal(base::error_kind kind, std::string text, base::random_source& random)
{
    // Jitter spreads the retries of refused callers over time.
    return {{kind, std::move(text)}, max_refusal_retry * (0.5 + 0.5 * random.unit())};
}

} // namespace savoryreach::entry
