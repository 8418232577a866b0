#ifndef SAVORYREACH_ENTRY_FAIR_QUEUE_HPP
#define SAVORYREACH_ENTRY_FAIR_QUEUE_HPP

#include "savoryreach/entry/job_number.hpp"
#include "schema/generated/ledger.pb.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace savoryreach::entry
{

/// Scheduling attributes of a job.
struct queued_job
{
    job_number number{};
    std::string kind;
    std::string team;
    std::uint32_t urgency = 0;       ///< 0 to 9, 9 is the most urgent
    std::uint32_t waiting_tasks = 0; ///< tasks that may be started
    absl::Time answer_by;            ///< deadline of the whole answer
};

/// Selects the next task to start by weighted fair queueing over slot time: first among kinds, then
/// among the teams of a kind, then among the jobs of a team. Unused shares are available to the
/// other kinds and teams. Urgency orders the jobs of a team and serves a job ahead of its fair
/// share by a bounded amount of slot time. Not thread-safe.
class fair_queue
{
public:
    fair_queue();
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Sets weights and bounds, effective from the next call of next().
    void apply(const schema::kind_policy& policy);
    void apply(const schema::team_quota& quota);

    /// Limits the slots that this process may use for one team. The entry derives the limit from
    /// the team's max_slots and the number of live entries. 0 means no limit.
    void set_team_slot_limit(const std::string& team, std::uint32_t slots);

    /// Adds a job whose number is not in the queue yet.
    void add(const queued_job& job);

    /// Makes \p n more tasks of a queued job startable, after a failed attempt or a start that did
    /// not take place.
    void requeue(job_number job, std::uint32_t n);

    /// Removes a job and all its waiting tasks; costs O(log n). Unknown numbers are ignored.
    void remove(job_number job);

    /// Returns the job whose task starts next, among the kinds for which \p is_runnable holds.
    /// Removes one waiting task of the job and charges \p estimated_cost of the kind to the shares
    /// of kind and team. Returns nullopt when nothing is startable.
    std::optional<job_number>
    next(absl::FunctionRef<bool(const std::string& kind)> is_runnable,
         absl::FunctionRef<absl::Duration(const std::string& kind)> estimated_cost);

    /// Replaces the estimated charge of one start by its observed slot time and releases the team's
    /// slot.
    void release_slot(const std::string& kind, const std::string& team, absl::Duration estimated,
                      absl::Duration observed);

    [[nodiscard]] std::size_t waiting_tasks() const;
    [[nodiscard]] std::size_t waiting_tasks(const std::string& kind) const;

    /// Fraction of the fleet, 0 to 1, that a new job of the team could get now, given the kinds and
    /// teams with waiting tasks.
    [[nodiscard]] double share_of(const std::string& kind, const std::string& team) const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< kinds, teams and jobs with their virtual times
};

} // namespace savoryreach::entry

#endif
