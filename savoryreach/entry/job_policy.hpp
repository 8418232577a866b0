#ifndef SAVORYREACH_ENTRY_JOB_POLICY_HPP
#define SAVORYREACH_ENTRY_JOB_POLICY_HPP

#include "savoryreach/entry/admission.hpp"
#include "savoryreach/entry/dispatcher.hpp"
#include "savoryreach/entry/recent_demand.hpp"
#include "savoryreach/entry/router.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::entry
{

/// Applies configuration declarations to the classes that they concern, and decides on admission.
/// Not thread-safe.
class job_policy
{
public:
    job_policy(const dispatcher::dependencies& deps, const router& routes);

    void apply(const schema::declaration& declaration);
    /// Recomputes the slot limits of the teams, which depend on the number of live entries.
    void view_changed();

    [[nodiscard]] std::optional<refusal> check(const schema::submission& submission);
    /// Refuses a job that is selected to start if it can no longer end before its deadline.
    [[nodiscard]] std::optional<refusal> check_start(const job& it) const;
    [[nodiscard]] absl::Duration answer_retention() const { return answer_retention_; }

    /// Bound on the bytes of submissions and answers in the job table.
    static constexpr std::size_t max_held_bytes = std::size_t{512} << 20U;

private:
    [[nodiscard]] admission_load load_for(const schema::submission& submission) const;
    [[nodiscard]] std::uint32_t team_slot_limit(std::uint32_t max_slots) const;

    dispatcher::dependencies deps_; ///< shared with the other classes of the core
    recent_demand demand_;          ///< of kinds and teams
    const router& routes_;          ///< number of live entries
    absl::Duration answer_retention_ = absl::Seconds(30);   ///< time that an answer is kept
    absl::btree_map<std::string, std::uint32_t> max_slots_; ///< by team, over all entries
    absl::btree_map<std::string, absl::Duration> max_wait_; ///< by kind
};

} // namespace savoryreach::entry

#endif
