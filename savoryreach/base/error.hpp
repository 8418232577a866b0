#ifndef SAVORYREACH_BASE_ERROR_HPP
#define SAVORYREACH_BASE_ERROR_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryreach::base
{

/// The closed list of error kinds. The numeric values are part of the protocols and never change.
enum class error_kind : std::uint32_t
{
    none = 0,
    // Bad input: the submission or record is refused as it stands.
    not_json = 1,
    too_large = 2,
    unknown_field = 3,
    unknown_version = 4,
    wrong_type = 5,
    out_of_range = 6,
    content_conflict = 7,
    wrong_cluster = 8,
    // Refusals: nothing ran.
    deadline_unreachable = 20,
    over_quota = 21,
    queue_full = 22,
    never_runnable = 23,
    not_ready = 24,
    draining = 25,
    ledger_full = 26,
    // Failures of a job.
    task_failed = 40,
    outcome_unknown = 41,
    deadline_passed = 42,
    cancelled = 43,
    answer_not_held = 44,
    not_found = 45,
    unreachable = 46,
    // Operator calls.
    version_conflict = 60,
    version_too_low = 61,
    not_leader = 62,
    // Own faults.
    storage_failed = 80,
    internal = 81,
};

/// What an error says about whether tasks of the job have run.
enum class not_run
{
    unknown, ///< tasks may have run
    yes,     ///< no task has run or will run
    no,      ///< at least one task has run
};

/// One row of the table from error kind to answer.
struct error_traits
{
    error_kind kind;
    std::string_view name;
    int http_status;
    bool retryable;
    /// The claim that this kind makes by itself; `unknown` where the job's own record decides.
    not_run claim;
};

/// The row of \p kind. An unlisted value gives the row of `internal`.
[[nodiscard]] const error_traits& traits_of(error_kind kind);

/// The kind with the numeric value \p value, or `internal` when there is none.
[[nodiscard]] error_kind error_kind_from(std::uint32_t value);

/// Why an operation gave no value: the kind and a sentence for people.
struct reason
{
    error_kind kind = error_kind::none;
    std::string text;

    friend bool operator==(const reason&, const reason&) = default;
};

} // namespace savoryreach::base

#endif
