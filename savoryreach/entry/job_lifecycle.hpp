#ifndef SAVORYREACH_ENTRY_JOB_LIFECYCLE_HPP
#define SAVORYREACH_ENTRY_JOB_LIFECYCLE_HPP

#include "savoryreach/entry/admission.hpp"
#include "savoryreach/entry/claim_client.hpp"
#include "savoryreach/entry/dispatcher.hpp"
#include "savoryreach/entry/former_home_client.hpp"
#include "savoryreach/entry/forwarding.hpp"
#include "savoryreach/entry/job_policy.hpp"
#include "savoryreach/entry/job_table.hpp"
#include "savoryreach/entry/job_waiters.hpp"
#include "savoryreach/entry/recovery.hpp"

#include <functional>
#include <string>

namespace savoryreach::entry
{

/// State machine of the jobs whose home is this entry. Duplicate submissions join the known job,
/// refusals are repeated until their retry time, a claim in the ledger precedes the first start,
/// and each job has one final answer. Not thread-safe.
class job_lifecycle
{
public:
    struct parts
    {
        dispatcher::dependencies shared;
        router& routes;
        claim_client& claims;
        dispatcher& starts;
        recovery& takeovers;
        job_policy& policy;
    };

    /// Redirects a waiter whose job belongs to \p owner.
    using redirect_handler = std::function<void(const job_waiter&, const schema::submission&,
                                                const base::node_name& owner)>;

    struct hooks
    {
        job_waiters::answer_handler answer;
        redirect_handler redirect;
    };

    job_lifecycle(const parts& core_parts, hooks handlers);

    /// Handles a submission or a copy of one at its home entry.
    void submit(schema::submission submission, const job_waiter& waiter);
    /// True when this entry has a job or a refusal for the submission and may answer with its
    /// state.
    [[nodiscard]] bool knows(const std::string& submission_id);
    void lookup(const std::string& submission_id, const job_waiter& waiter);
    void cancel(const std::string& submission_id, const job_waiter& waiter);
    void caller_disconnected(std::uint64_t request_id) { waiters_.remove_caller(request_id); }

    /// The home entry of a newer view holds the claim of the submission.
    void claimed_by_new_home(const std::string& submission_id);
    bool former_home_answered(const schema::forward_answer& answer)
    {
        return former_homes_.receive(answer);
    }
    void claim_answered(const schema::claim& claim, const schema::claim_result& result);
    void finish_acknowledged(const std::string& submission_id);

    /// A task of the job has ended.
    void task_ended(job& it);
    /// Fails a job that cannot complete.
    void fail(job& it, const base::reason& why);
    /// Refuses and removes a job without sent tasks when it cannot end within its time budget. True
    /// when refused.
    bool refuse_if_late(job& it);
    /// Starts a taken-over job whose tasks are all resolved.
    void resume(job& it);

    /// Handles deadlines that have passed.
    void tick();

    /// Refuses the jobs that have not started. The others continue when the lease is renewed.
    void lease_lost();
    /// Answers all open jobs with an error and removes all jobs, because a fenced epoch cannot
    /// start tasks.
    void epoch_ended();

    void begin_drain() { is_draining_ = true; }
    [[nodiscard]] bool is_draining() const { return is_draining_; }
    /// Records that another entry may run the submission from now on. A later refusal here must
    /// first verify with the ledger that nothing ran.
    void mark_run_elsewhere(const std::string& submission_id);

    /// Time allowed for agents to confirm that cancelled tasks had not started.
    static constexpr absl::Duration closing_timeout = absl::Milliseconds(200);
    /// Maximum number of refusals that wait for the ledger.
    static constexpr std::size_t max_verifying = 1'000;

private:
    void join(job& it, const schema::submission& submission, const std::string& digest,
              const job_waiter& waiter);
    void refuse(const schema::submission& submission, const std::string& digest,
                const job_waiter& waiter, const refusal& why);
    void accept(schema::submission submission, const std::string& digest, const job_waiter& waiter);
    [[nodiscard]] bool needs_ledger(const std::string& submission_id);
    /// Reports the end of a job that ended before its claim was answered. A finish report that
    /// precedes its claim would be lost, and a later copy could run.
    void finish_after_claim(job& it, schema::claim_outcome outcome);
    void claimed(job& it);
    void taken_over(job& it, const schema::claim_result& result);
    void owned_elsewhere(job& it, const std::string& owner);
    void advance_claimed(job& it);
    void refuse_job(job& it, const base::reason& why, absl::Duration retry_after);
    void drop_job(job& it);
    void end_job(job& it, schema::job_answer answer);
    void check_closing(job& it, absl::Time now);
    void handle_due(job& it, absl::Time now);
    void drop_if_expired(job& it, absl::Time now);

    parts parts_;                     ///< other components of the entry core
    entry_context& context_;          ///< interfaces to the environment and counters
    job_table& jobs_;                 ///< jobs and refusals in force
    job_waiters waiters_;             ///< callers that wait for answers
    former_home_client former_homes_; ///< queried before an unknown submission runs
    redirect_handler redirect_;       ///< redirects waiters of jobs owned by other entries
    bool is_draining_ = false;        ///< new submissions are refused while draining
    std::size_t verifying_ = 0;       ///< refusals that wait for the ledger
};

} // namespace savoryreach::entry

#endif
