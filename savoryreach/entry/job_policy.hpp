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

/// Applies the configuration to the parts that follow it, and decides on admission. Not
/// thread-safe.
class job_policy
{
public:
    job_policy(const dispatcher::dependencies& of, const router& routes);

    void apply(const schema::declaration& declaration);
    /// Divides the teams' slots by the number of live entries.
    void view_changed();

    [[nodiscard]] std::optional<refusal> check(const schema::submission& submission);
    /// Whether a job whose turn has come can still end in time at the share that it gets.
    [[nodiscard]] std::optional<refusal> check_start(const job& it) const;
    [[nodiscard]] absl::Duration answer_retention() const { return answer_retention_; }

    /// Bound on the bytes of submissions and answers in the job table.
    static constexpr std::size_t max_held_bytes = std::size_t{512} << 20U;

private:
    [[nodiscard]] admission_load load_for(const schema::submission& submission) const;
    [[nodiscard]] std::uint32_t team_limit(std::uint32_t max_slots) const;

    dispatcher::dependencies of_;                           ///< shared classes of the core
    recent_demand demand_;                                  ///< of kinds and teams
    const router& routes_;                                  ///< number of live entries
    absl::Duration answer_retention_ = absl::Seconds(30);   ///< time that an answer is kept
    absl::btree_map<std::string, std::uint32_t> max_slots_; ///< by team, over all entries
    absl::btree_map<std::string, absl::Duration> max_wait_; ///< by kind
};

} // namespace savoryreach::entry

#endif
