#include "savoryreach/base/error.hpp"

#include <algorithm>
#include <array>

namespace savoryreach::base
{
namespace
{

using enum error_kind;

constexpr std::array error_table{
    error_traits{none, "none", 200, false, not_run::unknown},
    error_traits{not_json, "not_json", 400, false, not_run::yes},
    error_traits{too_large, "too_large", 413, false, not_run::yes},
    error_traits{unknown_field, "unknown_field", 400, false, not_run::yes},
    error_traits{unknown_version, "unknown_version", 400, false, not_run::yes},
    error_traits{wrong_type, "wrong_type", 400, false, not_run::yes},
    error_traits{out_of_range, "out_of_range", 422, false, not_run::yes},
    // The other content of the same id may have run, so nothing is claimed beyond this copy.
    error_traits{content_conflict, "content_conflict", 409, false, not_run::yes},
    error_traits{wrong_cluster, "wrong_cluster", 421, false, not_run::yes},
    error_traits{deadline_unreachable, "deadline_unreachable", 503, true, not_run::yes},
    error_traits{over_quota, "over_quota", 429, true, not_run::yes},
    error_traits{queue_full, "queue_full", 503, true, not_run::yes},
    error_traits{never_runnable, "never_runnable", 422, false, not_run::yes},
    error_traits{not_ready, "not_ready", 503, true, not_run::yes},
    error_traits{draining, "draining", 503, true, not_run::yes},
    error_traits{ledger_full, "ledger_full", 503, true, not_run::yes},
    error_traits{task_failed, "task_failed", 502, false, not_run::unknown},
    error_traits{outcome_unknown, "outcome_unknown", 502, false, not_run::unknown},
    error_traits{deadline_passed, "deadline_passed", 504, false, not_run::unknown},
    error_traits{cancelled, "cancelled", 409, false, not_run::unknown},
    error_traits{answer_not_held, "answer_not_held", 410, false, not_run::no},
    error_traits{not_found, "not_found", 404, false, not_run::unknown},
    error_traits{unreachable, "unreachable", 503, true, not_run::unknown},
    error_traits{version_conflict, "version_conflict", 409, false, not_run::yes},
    error_traits{version_too_low, "version_too_low", 409, false, not_run::yes},
    error_traits{not_leader, "not_leader", 503, true, not_run::yes},
    error_traits{storage_failed, "storage_failed", 500, false, not_run::unknown},
    error_traits{internal, "internal", 500, false, not_run::unknown},
};

} // namespace

const error_traits& traits_of(error_kind kind)
{
    const auto it = std::ranges::find(error_table, kind, &error_traits::kind);
    return it != error_table.end() ? *it : error_table.back();
}

error_kind error_kind_from(std::uint32_t value)
{
    const auto it = std::ranges::find_if(error_table, [value](const error_traits& row)
                                         { return static_cast<std::uint32_t>(row.kind) == value; });
    return it != error_table.end() ? it->kind : internal;
}

} // namespace savoryreach::base
