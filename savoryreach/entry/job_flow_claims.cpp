#include "savoryreach/entry/answers.hpp"
#include "savoryreach/entry/job_flow.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::entry
{

void job_flow::claim_answered(const schema::claim& claim, const schema::claim_result& result)
{
    if (result.outcome() == schema::claim_fenced)
    {
        of_.shared.members.epoch_fenced();
        return;
    }
    auto* it = jobs_.find(claim.submission_id());
    if (it == nullptr || it->is_claimed)
    {
        return;
    }
    if (it->digest != claim.digest())
    {
        // The claim of a refused job whose id was used again meanwhile; this job's own follows.
        return;
    }
    if (it->is_ended())
    {
        finish_late(*it, result.outcome());
        return;
    }
    switch (result.outcome())
    {
    case schema::claim_granted:
        claimed(*it);
        break;
    case schema::claim_taken_over:
        taken_over(*it, result);
        break;
    case schema::claim_owned:
        owned_elsewhere(*it, result.owner());
        break;
    case schema::claim_finished:
        waiters_.answer_all(*it,
                            error_answer(it->id(),
                                         {base::error_kind::answer_not_held,
                                          "the job has ended and its answer is no longer held"},
                                         base::not_run::no));
        jobs_.note_finished(it->id(), context_.now());
        drop(*it);
        break;
    case schema::claim_conflict:
        waiters_.answer_all(*it, conflict_answer(it->id()));
        drop(*it);
        break;
    case schema::claim_full:
    {
        const auto why =
            make_refusal(base::error_kind::ledger_full, "the ledger holds its maximum of claims",
                         context_.ports.random);
        it->is_verified = true;
        refuse_job(*it, why.reason, why.retry_after);
        break;
    }
    default:
        of_.claims.claim(it->id(), it->digest);
        break;
    }
}

void job_flow::finish_late(job& it, schema::claim_outcome outcome)
{
    it.is_claimed = outcome == schema::claim_granted || outcome == schema::claim_taken_over;
    if (!it.is_finish_due)
    {
        return;
    }
    if (it.is_claimed)
    {
        of_.claims.finish(it.id());
    }
    else if (outcome == schema::claim_outcome_unspecified)
    {
        of_.claims.claim(it.id(), it.digest);
    }
    else
    {
        // The claim belongs to another owner, so its end is not this entry's to report.
        it.is_finish_due = false;
        forget_if_over(it, context_.now());
    }
}

void job_flow::claimed(job& it)
{
    it.is_claimed = true;
    context_.ports.events.record("claim_granted", {{"submission", it.id()}});
    if (it.phase == job_phase::verifying)
    {
        const auto why = it.refusal;
        refuse_job(it, why, it.retry_after);
        return;
    }
    begin(it);
}

void job_flow::taken_over(job& it, const schema::claim_result& result)
{
    it.is_claimed = true;
    context_.ports.events.record(
        "claim_granted",
        {{"submission", it.id()}, {"previous_epoch", absl::StrCat(result.previous_epoch())}});
    if (it.phase == job_phase::verifying)
    {
        // Tasks may have run, so the refusal can't stand: the job is carried on instead.
        --verifying_;
        it.phase = job_phase::claiming;
    }
    it.dead_epochs.assign(result.earlier_epochs().begin(), result.earlier_epochs().end());
    if (result.previous_epoch() != 0)
    {
        it.dead_epochs.push_back(result.previous_epoch());
    }
    std::ranges::sort(it.dead_epochs);
    it.dead_epochs.erase(std::unique(it.dead_epochs.begin(), it.dead_epochs.end()),
                         it.dead_epochs.end());
    for (auto& task : it.tasks)
    {
        task.phase = task_phase::unresolved;
    }
    of_.shared.queue.remove(it);
    begin(it);
}

void job_flow::begin(job& it)
{
    const auto now = context_.now();
    waiters_.answer_state_requests(it);
    if (!it.has_asked && former_.ask(it.number, it.id()))
    {
        it.phase = job_phase::asking;
        return;
    }
    it.held_until = std::max(it.held_until, of_.routes.hold_until(it.id(), now));
    if (it.held_until > now)
    {
        it.phase = job_phase::held;
        jobs_.wake_at(it.number, it.held_until);
        return;
    }
    if (!it.dead_epochs.empty())
    {
        it.phase = job_phase::recovering;
        of_.takeovers.add(it);
        return;
    }
    it.phase = job_phase::running;
    of_.shared.queue.start(it);
}

void job_flow::resume(job& it)
{
    assert(it.phase == job_phase::recovering);
    it.phase = job_phase::running;
    of_.shared.queue.reserve(it);
    of_.shared.queue.start(it);
    progressed(it);
}

void job_flow::owned_elsewhere(job& it, const std::string& owner)
{
    if (owner == context_.self.value())
    {
        // An earlier epoch of this process's name that is not fenced yet.
        of_.claims.claim(it.id(), it.digest);
        return;
    }
    const auto waiters = waiters_.take_all(it);
    const auto submission = it.submission;
    drop(it);
    for (const auto& waiter : waiters)
    {
        moved_(waiter, submission, base::node_name(owner));
    }
}

} // namespace savoryreach::entry
