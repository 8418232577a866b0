#include "savoryreach/entry/job_lifecycle.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/entry/answers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

std::string name_of(base::error_kind kind)
{
    return std::string(base::traits_of(kind).name);
}

/// The remembered answer with the time remaining until its retry deadline.
schema::job_answer repeated_answer(const remembered_refusal& remembered, absl::Time now)
{
    auto answer = remembered.answer;
    set_retry_after(answer, remembered.until - now);
    return answer;
}

} // namespace

job_lifecycle::job_lifecycle(const parts& core_parts, hooks handlers)
    : parts_(core_parts), context_(core_parts.shared.context), jobs_(core_parts.shared.jobs),
      waiters_(core_parts.shared.jobs, std::move(handlers.answer)),
      former_homes_(
          core_parts.shared.context, core_parts.routes,
          {[this](job_number number, const schema::job_answer& refusal)
           {
               if (auto* it = jobs_.find(number); it != nullptr && !it->is_ended())
               {
                   refuse_job(*it, {base::error_kind_from(refusal.error_kind()), refusal.reason()},
                              absl::Milliseconds(refusal.retry_after_ms()));
               }
           },
           [this](job_number number, absl::Time not_before)
           {
               auto* it = jobs_.find(number);
               if (it != nullptr && it->phase == job_phase::asking)
               {
                   it->former_homes_cleared = true;
                   it->held_until = not_before;
                   advance_claimed(*it);
               }
           }}),
      redirect_(std::move(handlers.redirect))
{
}

void job_lifecycle::claimed_by_new_home(const std::string& submission_id)
{
    mark_run_elsewhere(submission_id);
    auto* it = jobs_.find(submission_id);
    if (it != nullptr && !it->is_claimed)
    {
        it->is_verified = false;
    }
}

bool job_lifecycle::knows(const std::string& submission_id)
{
    const auto* it = jobs_.find(submission_id);
    if (it != nullptr)
    {
        // Without a lease, and until the ledger has acknowledged the end, a successor may also end
        // the job, and two copies would get different answers.
        return !it->is_finish_due || parts_.shared.members.has_lease();
    }
    return jobs_.refusal_of(submission_id, context_.now()) != nullptr;
}

void job_lifecycle::submit(schema::submission submission, const job_waiter& waiter)
{
    ++context_.counters.submissions;
    const auto& id = submission.submission_id();
    const auto digest = base::content_digest(submission.SerializeAsString());
    if (auto* known = jobs_.find(id))
    {
        join(*known, submission, digest, waiter);
        return;
    }
    if (const auto* remembered = jobs_.refusal_of(id, context_.now()))
    {
        ++context_.counters.refused;
        waiters_.answer(waiter, repeated_answer(*remembered, context_.now()));
        return;
    }
    if (is_draining_)
    {
        refuse(submission, digest, waiter,
               make_refusal(base::error_kind::draining, "the entry is draining",
                            context_.ports.random));
        return;
    }
    if (const auto why = parts_.policy.check(submission))
    {
        refuse(submission, digest, waiter, *why);
        return;
    }
    accept(std::move(submission), digest, waiter);
}

void job_lifecycle::join(job& it, const schema::submission& submission, const std::string& digest,
                         const job_waiter& waiter)
{
    if (it.digest != digest)
    {
        auto answer = conflict_answer(submission.submission_id());
        if (!it.is_claimed)
        {
            // Until the ledger has granted this job's claim, the submission with the other content
            // may have run.
            answer.set_not_run(to_schema(base::not_run::unknown));
        }
        waiters_.answer(waiter, answer);
        return;
    }
    if (job_waiters::has(it, waiter))
    {
        return;
    }
    ++context_.counters.joined;
    context_.ports.events.record("job_joined", {{"submission", it.id()}});
    waiters_.add(it, waiter);
}

bool job_lifecycle::needs_ledger(const std::string& submission_id)
{
    return parts_.routes.had_other_home(submission_id, context_.now()) ||
           jobs_.was_finished(submission_id);
}

void job_lifecycle::refuse(const schema::submission& submission, const std::string& digest,
                           const job_waiter& waiter, const refusal& why)
{
    const auto& id = submission.submission_id();
    const bool is_unknown = needs_ledger(id);
    if (is_unknown && verifying_ < max_verifying)
    {
        // Another epoch may have run the job. Only the result of a claim shows that nothing ran.
        auto& it = jobs_.add(submission, digest, context_.now());
        it.phase = job_phase::verifying;
        it.is_verified = false;
        it.refusal = why.reason;
        it.retry_after = why.retry_after;
        ++verifying_;
        waiters_.add(it, waiter);
        jobs_.wake_at(it.number, it.answer_by);
        parts_.claims.claim(id, digest);
        return;
    }
    ++context_.counters.refused;
    context_.ports.events.record("job_refused",
                                 {{"submission", id}, {"reason", name_of(why.reason.kind)}});
    auto answer = error_answer(id, why.reason, base::not_run::yes, why.retry_after);
    const auto until = context_.now() + absl::Milliseconds(answer.retry_after_ms());
    if (is_unknown || !jobs_.remember_refusal(id, {digest, answer, until}))
    {
        answer.set_not_run(to_schema(base::not_run::unknown));
    }
    waiters_.answer(waiter, answer);
}

void job_lifecycle::accept(schema::submission submission, const std::string& digest,
                           const job_waiter& waiter)
{
    auto& it = jobs_.add(std::move(submission), digest, context_.now());
    it.is_verified = !needs_ledger(it.id());
    it.waiting = static_cast<std::uint32_t>(it.tasks.size());
    parts_.shared.queue.reserve(it);
    context_.ports.events.record("job_accepted",
                                 {{"submission", it.id()}, {"tasks", absl::StrCat(it.waiting)}});
    waiters_.add(it, waiter);
    jobs_.wake_at(it.number, it.answer_by);
    parts_.claims.claim(it.id(), digest);
}

void job_lifecycle::refuse_job(job& it, const base::reason& why, absl::Duration retry_after)
{
    ++context_.counters.refused;
    context_.ports.events.record("job_refused",
                                 {{"submission", it.id()}, {"reason", name_of(why.kind)}});
    auto answer = error_answer(it.id(), why, it.not_run(), retry_after);
    const auto until = context_.now() + absl::Milliseconds(answer.retry_after_ms());
    if (!jobs_.remember_refusal(it.id(), {it.digest, answer, until}))
    {
        answer.set_not_run(to_schema(base::not_run::unknown));
    }
    waiters_.answer_all(it, answer);
    drop_job(it);
}

bool job_lifecycle::refuse_if_late(job& it)
{
    const auto why = parts_.policy.check_start(it);
    if (why)
    {
        refuse_job(it, why->reason, why->retry_after);
    }
    return why.has_value();
}

void job_lifecycle::drop_job(job& it)
{
    parts_.shared.queue.remove(it);
    parts_.takeovers.remove(it);
    former_homes_.remove(it.number);
    parts_.starts.release(it);
    parts_.starts.abandon_attempts(it);
    if (it.phase == job_phase::verifying)
    {
        --verifying_;
    }
    jobs_.erase(it);
}

void job_lifecycle::task_ended(job& it)
{
    const auto now = context_.now();
    if (it.phase == job_phase::closing)
    {
        check_closing(it, now);
    }
    else if (!it.is_ended() && it.succeeded == it.tasks.size())
    {
        end_job(it, complete_answer(it, now));
    }
}

void job_lifecycle::fail(job& it, const base::reason& why)
{
    if (it.is_ended() || it.phase == job_phase::closing)
    {
        return;
    }
    parts_.shared.queue.remove(it);
    parts_.starts.cancel(it);
    const auto now = context_.now();
    if (it.count(task_phase::sent) > 0 && !it.has_started())
    {
        // The agents' answers determine whether the final answer may claim that nothing ran.
        it.phase = job_phase::closing;
        it.failure = why;
        it.close_by = now + closing_timeout;
        jobs_.wake_at(it.number, it.close_by);
        return;
    }
    end_job(it, failed_answer(it, why, now));
}

void job_lifecycle::check_closing(job& it, absl::Time now)
{
    if (it.count(task_phase::sent) == 0 || it.has_started() || now >= it.close_by)
    {
        end_job(it, failed_answer(it, it.failure, now));
    }
}

void job_lifecycle::end_job(job& it, schema::job_answer answer)
{
    const bool is_complete = answer.state() == schema::job_state_complete;
    ++(is_complete ? context_.counters.completed : context_.counters.failed);
    if (it.phase == job_phase::verifying)
    {
        --verifying_;
    }
    parts_.shared.queue.remove(it);
    parts_.takeovers.remove(it);
    former_homes_.remove(it.number);
    it.phase = job_phase::ended;
    it.answer = std::move(answer);
    it.retain_until = context_.now() + parts_.policy.answer_retention();
    jobs_.job_ended(it);
    jobs_.wake_at(it.number, it.retain_until);
    if (it.answer->not_run() != schema::not_run_true)
    {
        it.is_finish_due = true;
        if (it.is_claimed)
        {
            parts_.claims.finish(it.id());
        }
    }
    context_.ports.events.record(
        "job_answered", {{"submission", it.id()},
                         {"state", is_complete ? "complete" : "failed"},
                         {"reason", name_of(base::error_kind_from(it.answer->error_kind()))}});
    waiters_.answer_all(it, *it.answer);
}

void job_lifecycle::finish_acknowledged(const std::string& submission_id)
{
    if (auto* it = jobs_.find(submission_id))
    {
        it->is_finish_due = false;
        drop_if_expired(*it, context_.now());
    }
}

void job_lifecycle::drop_if_expired(job& it, absl::Time now)
{
    if (!it.is_ended() || it.is_finish_due || now < it.retain_until)
    {
        return;
    }
    if (it.answer->not_run() != schema::not_run_true)
    {
        jobs_.remember_finished(it.id(), now);
    }
    drop_job(it);
}

void job_lifecycle::handle_due(job& it, absl::Time now)
{
    if (it.is_ended())
    {
        drop_if_expired(it, now);
        return;
    }
    if (it.phase == job_phase::closing)
    {
        check_closing(it, now);
        return;
    }
    if (it.answer_by <= now)
    {
        fail(it, {base::error_kind::deadline_passed, "the time budget has passed"});
        return;
    }
    if (it.phase == job_phase::held && it.held_until <= now)
    {
        advance_claimed(it);
    }
    waiters_.answer_overdue(it, now);
}

void job_lifecycle::tick()
{
    const auto now = context_.now();
    jobs_.expire_refusals(now);
    former_homes_.tick();
    for (const auto number : jobs_.due(now))
    {
        if (auto* it = jobs_.find(number))
        {
            handle_due(*it, now);
        }
    }
}

void job_lifecycle::lookup(const std::string& submission_id, const job_waiter& waiter)
{
    if (const auto* it = jobs_.find(submission_id))
    {
        waiters_.answer(waiter, it->is_ended() ? *it->answer : running_answer(submission_id));
        return;
    }
    const auto* refused = jobs_.refusal_of(submission_id, context_.now());
    waiters_.answer(waiter, refused != nullptr ? repeated_answer(*refused, context_.now())
                                               : error_answer(submission_id,
                                                              {base::error_kind::not_found,
                                                               "no job of this id is known"},
                                                              base::not_run::unknown));
}

void job_lifecycle::cancel(const std::string& submission_id, const job_waiter& waiter)
{
    auto* it = jobs_.find(submission_id);
    if (it == nullptr)
    {
        lookup(submission_id, waiter);
        return;
    }
    auto end_waiter = waiter;
    end_waiter.respond_now = false;
    waiters_.add(*it, end_waiter);
    fail(*it, {base::error_kind::cancelled, "the caller has cancelled the job"});
}

void job_lifecycle::mark_run_elsewhere(const std::string& submission_id)
{
    jobs_.remember_finished(submission_id, context_.now());
}

void job_lifecycle::lease_lost()
{
    std::vector<job_number> unstarted;
    jobs_.for_each(
        [&unstarted](job& it)
        {
            if (!it.is_ended() && it.phase != job_phase::closing && it.tasks_started() == 0)
            {
                unstarted.push_back(it.number);
            }
        });
    for (const auto number : unstarted)
    {
        const auto why = make_refusal(base::error_kind::not_ready, "the entry's lease has expired",
                                      context_.ports.random);
        refuse_job(*jobs_.find(number), why.reason, why.retry_after);
    }
}

void job_lifecycle::epoch_ended()
{
    lease_lost();
    jobs_.for_each(
        [this](job& it)
        {
            parts_.starts.abandon_attempts(it);
            if (it.is_ended())
            {
                return;
            }
            auto answer = error_answer(it.id(),
                                       {base::error_kind::unreachable,
                                        "the entry's epoch is fenced; another entry carries on"},
                                       it.not_run());
            answer.set_tasks_started(it.tasks_started());
            waiters_.answer_all(it, answer);
        });
    parts_.shared.queue.clear();
    parts_.takeovers.clear();
    former_homes_.clear();
    jobs_.clear();
    verifying_ = 0;
}

} // namespace savoryreach::entry
