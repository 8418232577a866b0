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

/// A job as the queue sees it.
struct queued_job
{
    job_number number{};
    std::string kind;
    std::string team;
    std::uint32_t urgency = 0;       ///< 0 to 9, 9 is the most urgent
    std::uint32_t waiting_tasks = 0; ///< tasks that may be started
    absl::Time answer_by;            ///< deadline of the whole answer
};

/// Decides whose task starts next: weighted fair queueing over slot time, by kind, then team, then
/// job. A share that is not used is lent to the others. Urgency orders the jobs of a team and moves
/// a job ahead of its share by a bounded amount of slot time. Not thread-safe.
class fair_queue
{
public:
    fair_queue();
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Sets weights and bounds; takes effect for the next decision.
    void apply(const schema::kind_policy& policy);
    void apply(const schema::team_quota& quota);

    /// Slots of one team that this process may use; the entry derives it from the team's max_slots
    /// and the number of live entries. 0 means no bound.
    void set_team_slot_limit(const std::string& team, std::uint32_t slots);

    /// Adds a job. Its number must not be known.
    void add(const queued_job& job);

    /// Makes \p n more tasks of a known job startable (a retry, or a start that was given back).
    void requeue(job_number job, std::uint32_t n);

    /// Removes a job and all its waiting tasks; costs O(log n). Unknown numbers are ignored.
    void remove(job_number job);

    /// The job whose task should start next, among the kinds for which \p is_runnable holds. Takes
    /// one waiting task of the job and charges \p estimated_cost of the job's kind to its share.
    /// nullopt when nothing is startable.
    std::optional<job_number>
    next(absl::FunctionRef<bool(const std::string& kind)> is_runnable,
         absl::FunctionRef<absl::Duration(const std::string& kind)> estimated_cost);

    /// Corrects the charge of one start when its true slot time is known, and frees the team's
    /// slot.
    void release_slot(const std::string& kind, const std::string& team, absl::Duration estimated,
                      absl::Duration observed);

    [[nodiscard]] std::size_t waiting_tasks() const;
    [[nodiscard]] std::size_t waiting_tasks(const std::string& kind) const;

    /// Fraction of the fleet, 0 to 1, that a team's new job could get now, given who is waiting.
    [[nodiscard]] double share_of(const std::string& kind, const std::string& team) const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< kinds, teams and jobs with their virtual times
};

} // namespace savoryreach::entry

#endif
