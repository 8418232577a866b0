#ifndef SAVORYREACH_ENTRY_JOB_HPP
#define SAVORYREACH_ENTRY_JOB_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/base/node_name.hpp"
#include "savoryreach/entry/job_number.hpp"
#include "schema/generated/job.pb.h"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// One process life of an agent.
struct agent_instance
{
    base::node_name name;
    std::uint64_t incarnation = 0;

    friend bool operator==(const agent_instance&, const agent_instance&) = default;
    friend bool operator<(const agent_instance& a, const agent_instance& b)
    {
        return a.name != b.name ? a.name < b.name : a.incarnation < b.incarnation;
    }
};

/// Where a task stands.
enum class task_phase
{
    unresolved, ///< an earlier epoch may have started it; recovery decides
    waiting,    ///< may be started
    delayed,    ///< may be started once its pause is over and the retry budget allows
    sent,       ///< an attempt of this epoch is at an agent
    awaited,    ///< an attempt of an earlier epoch runs
    succeeded,
    failed,
};

/// One task of a job with its latest attempt.
struct job_task
{
    task_phase phase = task_phase::waiting;
    std::uint32_t next_attempt = 0;           ///< number of the next start
    std::uint32_t attempt = 0;                ///< of the attempt at the agent
    agent_instance agent;                     ///< has the attempt while sent or awaited
    absl::Time sent_at;                       ///< of the attempt at the agent
    absl::Duration charged;                   ///< slot time that the queue charged for it
    absl::Time retry_at;                      ///< end of the pause while delayed
    bool is_retry = false;                    ///< the next start needs the retry budget
    bool is_recalled = false;                 ///< the attempt was asked back
    bool has_started = false;                 ///< an attempt is known to have started
    bool may_have_started = false;            ///< an attempt was lost and may have started
    std::uint32_t not_started = 0;            ///< consecutive attempts that an agent gave back
    std::uint32_t failures = 0;               ///< attempts that failed
    std::string output;                       ///< set on success
    std::vector<base::node_name> failed_here; ///< endpoints where an attempt failed
};

/// Where a job stands.
enum class job_phase
{
    claiming,   ///< waits for the ledger
    verifying,  ///< waits for the ledger, to be refused if nothing of it ran
    asking,     ///< claimed; asks live former homes for refusals in force
    held,       ///< claimed; waits until refusals of a former home have lapsed
    recovering, ///< asks the agents what earlier epochs have started
    running,
    closing, ///< will fail; waits for agents to confirm that nothing started
    ended,   ///< the answer is settled
};

/// A caller that waits for a job's answer.
struct job_waiter
{
    base::node_name entry;        ///< that forwarded the request; empty: a caller of this process
    std::uint64_t request_id = 0; ///< unique at the entry or the caller port
    absl::Time answer_by;         ///< `running` is answered when the job takes longer
    bool respond_now = false;     ///< wants only the state, once the job is claimed
    std::uint32_t hops = 0;       ///< times the request was forwarded

    friend bool operator==(const job_waiter&, const job_waiter&) = default;
};

/// The one execution of a submission at its home.
class job
{
public:
    job(job_number its_number, schema::submission posted, std::string its_digest, absl::Time now);

    [[nodiscard]] const std::string& id() const { return submission.submission_id(); }
    [[nodiscard]] bool is_ended() const { return phase == job_phase::ended; }
    [[nodiscard]] bool is_running() const { return phase == job_phase::running; }

    [[nodiscard]] bool has_started() const;
    /// Tasks that have started, or may have because their attempt is not confirmed as not started.
    [[nodiscard]] std::uint32_t tasks_started() const;
    /// `yes` only when nothing was started by any epoch and nothing sent can start any more.
    [[nodiscard]] base::not_run not_run() const;
    [[nodiscard]] std::size_t count(task_phase in) const;
    [[nodiscard]] bool is_settled(const job_task& task) const;

    const job_number number;             ///< within this process
    const schema::submission submission; ///< as posted
    const std::string digest;            ///< of the submission
    const absl::Time accepted_at;        ///< start of the time budget
    const absl::Time answer_by;          ///< end of the time budget

    job_phase phase = job_phase::claiming;
    bool is_claimed = false;    ///< the ledger has granted the claim to this epoch
    bool is_verified = true;    ///< no earlier epoch can have started tasks, except by recovery
    base::reason refusal;       ///< while verifying: why it is refused
    absl::Duration retry_after; ///< while verifying: retry time of the refusal
    bool has_asked = false;     ///< no live former home has a refusal in force
    absl::Time held_until = absl::InfinitePast(); ///< while held; also set by a former home's end
    absl::Time close_by;                          ///< while closing
    base::reason failure;                         ///< while closing: why it fails
    std::vector<std::uint64_t> dead_epochs;       ///< while recovering
    std::vector<job_task> tasks;                  ///< in the submission's order
    std::uint32_t waiting = 0;                    ///< tasks in phase waiting
    std::uint32_t succeeded = 0;                  ///< tasks in phase succeeded
    std::uint32_t next_waiting = 0;               ///< no task before it is waiting
    absl::btree_set<base::node_name> failed_at;   ///< endpoints where tasks failed
    base::reason last_reason;                     ///< of the last failed attempt
    absl::btree_set<agent_instance> agents_with_records; ///< agents that may hold records
    std::vector<job_waiter> waiters;                     ///< to be answered
    std::optional<schema::job_answer> answer;            ///< set when ended
    absl::Time retain_until;                             ///< the answer is kept until then
    bool is_finish_due = false;                          ///< finish sent and not acknowledged
};

} // namespace savoryreach::entry

#endif
