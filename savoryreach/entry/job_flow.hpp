#ifndef SAVORYREACH_ENTRY_JOB_FLOW_HPP
#define SAVORYREACH_ENTRY_JOB_FLOW_HPP

#include "savoryreach/entry/admission.hpp"
#include "savoryreach/entry/claim_client.hpp"
#include "savoryreach/entry/dispatcher.hpp"
#include "savoryreach/entry/former_homes.hpp"
#include "savoryreach/entry/forwarding.hpp"
#include "savoryreach/entry/job_policy.hpp"
#include "savoryreach/entry/job_table.hpp"
#include "savoryreach/entry/job_waiters.hpp"
#include "savoryreach/entry/recovery.hpp"

#include <functional>
#include <string>

namespace savoryreach::entry
{

/// The life of the jobs whose home is this entry: copies join, refusals are remembered, claims are
/// made before anything is sent, and each job gets one answer. Not thread-safe.
class job_flow
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

    /// Takes a waiter whose job belongs to \p owner.
    using moved_handler = std::function<void(const job_waiter&, const schema::submission&,
                                             const base::node_name& owner)>;

    struct hooks
    {
        job_waiters::answer_handler answer;
        moved_handler moved;
    };

    job_flow(const parts& of, hooks call);

    /// A copy of a submission has arrived at its home.
    void submit(schema::submission submission, const job_waiter& waiter);
    /// True when this entry has a job or a refusal for the submission and may answer from it.
    [[nodiscard]] bool knows(const std::string& submission_id);
    void lookup(const std::string& submission_id, const job_waiter& waiter);
    void cancel(const std::string& submission_id, const job_waiter& waiter);
    void caller_disconnected(std::uint64_t request_id) { waiters_.remove_caller(request_id); }

    /// A live entry holds the claim of the submission, as the home of a newer view.
    void taken_by_new_home(const std::string& submission_id);
    bool former_home_answered(const schema::forward_answer& answer)
    {
        return former_.receive(answer);
    }
    void claim_answered(const schema::claim& claim, const schema::claim_result& result);
    void finish_acknowledged(const std::string& submission_id);

    /// A task of the job has ended.
    void progressed(job& it);
    /// The job can't complete.
    void fail(job& it, const base::reason& why);
    /// Refuses a job of which nothing was sent when it can't end in time; the job is gone then.
    bool refuse_if_late(job& it);
    /// The tasks of a taken-over job are resolved.
    void resume(job& it);

    /// Acts on deadlines.
    void tick();

    /// Refuses what has not started; the rest goes on when the lease comes back.
    void lease_lost();
    /// Answers every job that has not ended, as this epoch can start nothing more, and forgets all.
    void epoch_over();

    void begin_drain() { is_draining_ = true; }
    [[nodiscard]] bool is_draining() const { return is_draining_; }
    /// Another entry may run the submission from now on, so that a later refusal here needs the
    /// ledger's word that nothing ran.
    void passed_on(const std::string& submission_id);

    /// Time for agents to confirm that cancelled tasks had not started.
    static constexpr absl::Duration closing_time = absl::Milliseconds(200);
    /// Bound on refusals that wait for the ledger.
    static constexpr std::size_t max_verifying = 1'000;

private:
    void join(job& it, const schema::submission& submission, const std::string& digest,
              const job_waiter& waiter);
    void refuse(const schema::submission& submission, const std::string& digest,
                const job_waiter& waiter, const refusal& why);
    void accept(schema::submission submission, const std::string& digest, const job_waiter& waiter);
    [[nodiscard]] bool needs_ledger(const std::string& submission_id);
    /// A finish that overtakes its claim would be lost, so that a later copy could run.
    void finish_late(job& it, schema::claim_outcome outcome);
    void claimed(job& it);
    void taken_over(job& it, const schema::claim_result& result);
    void owned_elsewhere(job& it, const std::string& owner);
    void begin(job& it);
    void refuse_job(job& it, const base::reason& why, absl::Duration retry_after);
    void drop(job& it);
    void end(job& it, schema::job_answer answer);
    void check_closing(job& it, absl::Time now);
    void due(job& it, absl::Time now);
    void forget_if_over(job& it, absl::Time now);

    parts of_;                  ///< the other classes of the core
    entry_context& context_;    ///< ports and counters
    job_table& jobs_;           ///< jobs and refusals
    job_waiters waiters_;       ///< callers to be answered
    former_homes former_;       ///< asked before an unknown submission runs
    moved_handler moved_;       ///< takes waiters of jobs that belong elsewhere
    bool is_draining_ = false;  ///< new submissions are refused
    std::size_t verifying_ = 0; ///< refusals that wait for the ledger
};

} // namespace savoryreach::entry

#endif
