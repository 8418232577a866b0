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

/// Identifies one process instance of an agent.
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

/// State of a task.
enum class task_phase
{
    unresolved, ///< an earlier epoch may have started it; recovery determines whether it did
    waiting,    ///< may be started
    delayed,    ///< may be started after retry_at when the retry budget allows
    sent,       ///< an attempt of this epoch was sent to an agent
    awaited,    ///< an attempt of an earlier epoch is running
    succeeded,
    failed,
};

/// One task of a job with its latest attempt.
struct job_task
{
    task_phase phase = task_phase::waiting;
    std::uint32_t next_attempt = 0;            ///< attempt number of the next start
    std::uint32_t attempt = 0;                 ///< number of the attempt at the agent
    agent_instance agent;                      ///< holds the attempt in the phases sent and awaited
    absl::Time sent_at;                        ///< of the attempt at the agent
    absl::Duration charged;                    ///< slot time that the queue charged for it
    absl::Time retry_at;                       ///< earliest next start in the phase delayed
    bool is_retry = false;                     ///< the next start takes a token of the retry budget
    bool is_recalled = false;                  ///< the agent was asked to return the attempt
    bool has_started = false;                  ///< an attempt is known to have started
    bool may_have_started = false;             ///< an attempt with unknown outcome may have started
    std::uint32_t consecutive_not_started = 0; ///< attempts in a row returned unstarted
    std::uint32_t failures = 0;                ///< number of failed attempts
    std::string output;                        ///< set on success
    std::vector<base::node_name> failed_here;  ///< endpoints where an attempt failed
};

/// State of a job.
enum class job_phase
{
    claiming,   ///< waits for the ledger
    verifying,  ///< waits for the ledger; refused when the claim shows that nothing ran
    asking,     ///< claimed; asks live former home entries for refusals in force
    held,       ///< claimed; waits until refusals by a former home entry have expired
    recovering, ///< asks the agents which tasks earlier epochs have started
    running,
    closing, ///< failing; waits for agents to confirm that nothing has started
    ended,   ///< the answer is final
};

/// A caller or another entry that waits for a job's answer.
struct job_waiter
{
    base::node_name entry;        ///< forwarded the request; empty for a caller of this process
    std::uint64_t request_id = 0; ///< unique at the entry or the caller port
    absl::Time answer_by;         ///< `running` is answered if the job has not ended by then
    bool respond_now = false;     ///< wants only the state, as soon as the job is claimed
    std::uint32_t hops = 0;       ///< times the request was forwarded

    friend bool operator==(const job_waiter&, const job_waiter&) = default;
};

/// The execution of a submission at its home entry. Copies of a submission share one job.
class job
{
public:
    job(job_number assigned_number, schema::submission accepted, std::string submission_digest,
        absl::Time now);

    [[nodiscard]] const std::string& id() const { return submission.submission_id(); }
    [[nodiscard]] bool is_ended() const { return phase == job_phase::ended; }
    [[nodiscard]] bool is_running() const { return phase == job_phase::running; }

    [[nodiscard]] bool has_started() const;
    /// Tasks that have started, or may have because their attempt is not confirmed as not started.
    [[nodiscard]] std::uint32_t tasks_started() const;
    /// `yes` only when no epoch has started a task and no task sent to an agent can still start.
    [[nodiscard]] base::not_run not_run() const;
    [[nodiscard]] std::size_t count(task_phase wanted) const;
    [[nodiscard]] bool is_start_known(const job_task& task) const;

    const job_number number;             ///< unique within this process
    const schema::submission submission; ///< as received
    const std::string digest;            ///< of the submission
    const absl::Time accepted_at;        ///< arrival; the time budget starts here
    const absl::Time answer_by;          ///< end of the time budget

    job_phase phase = job_phase::claiming;
    bool is_claimed = false;    ///< the ledger has granted the claim to this epoch
    bool is_verified = true;    ///< no earlier epoch can have started tasks, except by recovery
    base::reason refusal;       ///< reason for the refusal while verifying
    absl::Duration retry_after; ///< retry time of the refusal while verifying
    bool former_homes_cleared = false;            ///< no live former home has a refusal in force
    absl::Time held_until = absl::InfinitePast(); ///< no start before this time; refusals of a
                                                  ///< former home may be in force
    absl::Time close_by;                          ///< deadline of the phase closing
    base::reason failure;                         ///< reason for the failure while closing
    std::vector<std::uint64_t> dead_epochs;       ///< fenced epochs that owned the claim earlier
    std::vector<job_task> tasks;                  ///< in the order of the submission
    std::uint32_t waiting = 0;                    ///< number of tasks in the phase waiting
    std::uint32_t succeeded = 0;                  ///< number of tasks in the phase succeeded
    std::uint32_t next_waiting = 0; ///< no task before this index is in the phase waiting
    absl::btree_set<base::node_name> failed_at;          ///< endpoints where tasks failed
    base::reason last_reason;                            ///< of the last failed attempt
    absl::btree_set<agent_instance> agents_with_records; ///< agents that may hold records
    std::vector<job_waiter> waiters;                     ///< callers that have no answer yet
    std::optional<schema::job_answer> answer;            ///< set when ended
    absl::Time retain_until;                             ///< end of the retention of the answer
    bool is_finish_due = false; ///< the ledger has not acknowledged the end of the job yet
};

} // namespace savoryreach::entry

#endif
