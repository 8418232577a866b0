#include "savoryreach/entry/answers.hpp"
#include "savoryreach/entry/job_lifecycle.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::entry
{

void job_lifecycle::claim_answered(const schema::claim& claim, const schema::claim_result& result)
{
    if (result.outcome() == schema::claim_fenced)
    {
        parts_.shared.members.epoch_fenced();
        return;
    }
    auto* it = jobs_.find(claim.submission_id());
    if (it == nullptr || it->is_claimed)
    {
        return;
    }
    if (it->digest != claim.digest())
    {
        // This result belongs to an earlier, refused job with the same id. The result of this job's
        // claim follows.
        return;
    }
    if (it->is_ended())
    {
        finish_after_claim(*it, result.outcome());
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
        jobs_.remember_finished(it->id(), context_.now());
        drop_job(*it);
        break;
    case schema::claim_conflict:
        waiters_.answer_all(*it, conflict_answer(it->id()));
        drop_job(*it);
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
        parts_.claims.claim(it->id(), it->digest);
        break;
    }
}

void job_lifecycle::finish_after_claim(job& it, schema::claim_outcome outcome)
{
    it.is_claimed = outcome == schema::claim_granted || outcome == schema::claim_taken_over;
    if (!it.is_finish_due)
    {
        return;
    }
    if (it.is_claimed)
    {
        parts_.claims.finish(it.id());
    }
    else if (outcome == schema::claim_outcome_unspecified)
    {
        parts_.claims.claim(it.id(), it.digest);
    }
    else
    {
        // Another entry owns the claim and reports its end.
        it.is_finish_due = false;
        drop_if_expired(it, context_.now());
    }
}

void job_lifecycle::claimed(job& it)
{
    it.is_claimed = true;
    context_.ports.events.record("claim_granted", {{"submission", it.id()}});
    if (it.phase == job_phase::verifying)
    {
        const auto why = it.refusal;
        refuse_job(it, why, it.retry_after);
        return;
    }
    advance_claimed(it);
}

void job_lifecycle::taken_over(job& it, const schema::claim_result& result)
{
    it.is_claimed = true;
    context_.ports.events.record(
        "claim_granted",
        {{"submission", it.id()}, {"previous_epoch", absl::StrCat(result.previous_epoch())}});
    if (it.phase == job_phase::verifying)
    {
        // Tasks may have run, so the job cannot be refused any more and continues.
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
    parts_.shared.queue.remove(it);
    advance_claimed(it);
}

void job_lifecycle::advance_claimed(job& it)
{
    const auto now = context_.now();
    waiters_.answer_state_requests(it);
    if (!it.former_homes_cleared && former_homes_.ask(it.number, it.id()))
    {
        it.phase = job_phase::asking;
        return;
    }
    it.held_until = std::max(it.held_until, parts_.routes.hold_until(it.id(), now));
    if (it.held_until > now)
    {
        it.phase = job_phase::held;
        jobs_.wake_at(it.number, it.held_until);
        return;
    }
    if (!it.dead_epochs.empty())
    {
        it.phase = job_phase::recovering;
        parts_.takeovers.add(it);
        return;
    }
    it.phase = job_phase::running;
    parts_.shared.queue.start(it);
}

void job_lifecycle::resume(job& it)
{
    assert(it.phase == job_phase::recovering);
    it.phase = job_phase::running;
    parts_.shared.queue.reserve(it);
    parts_.shared.queue.start(it);
    task_ended(it);
}

void job_lifecycle::owned_elsewhere(job& it, const std::string& owner)
{
    if (owner == context_.self.value())
    {
        // The owner is an earlier epoch of this entry that is not fenced yet, so the claim is
        // repeated.
        parts_.claims.claim(it.id(), it.digest);
        return;
    }
    const auto waiters = waiters_.take_all(it);
    const auto submission = it.submission;
    drop_job(it);
    for (const auto& waiter : waiters)
    {
        redirect_(waiter, submission, base::node_name(owner));
    }
}

} // namespace savoryreach::entry
