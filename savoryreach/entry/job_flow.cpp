#include "savoryreach/entry/job_flow.hpp"

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

/// The remembered answer with the time that is left until its retry deadline.
schema::job_answer repeated_answer(const remembered_refusal& known, absl::Time now)
{
    auto answer = known.answer;
    set_retry_after(answer, known.until - now);
    return answer;
}

} // namespace

job_flow::job_flow(const parts& of, hooks call)
    : of_(of), context_(of.shared.context), jobs_(of.shared.jobs),
      waiters_(of.shared.jobs, std::move(call.answer)),
      former_(of.shared.context, of.routes,
              {[this](job_number number, const schema::job_answer& refusal)
               {
                   if (auto* it = jobs_.find(number); it != nullptr && !it->is_ended())
                   {
                       refuse_job(*it,
                                  {base::error_kind_from(refusal.error_kind()), refusal.reason()},
                                  absl::Milliseconds(refusal.retry_after_ms()));
                   }
               },
               [this](job_number number, absl::Time not_before)
               {
                   auto* it = jobs_.find(number);
                   if (it != nullptr && it->phase == job_phase::asking)
                   {
                       it->has_asked = true;
                       it->held_until = not_before;
                       begin(*it);
                   }
               }}),
      moved_(std::move(call.moved))
{
}

void job_flow::taken_by_new_home(const std::string& submission_id)
{
    passed_on(submission_id);
    auto* it = jobs_.find(submission_id);
    if (it != nullptr && !it->is_claimed)
    {
        it->is_verified = false;
    }
}

bool job_flow::knows(const std::string& submission_id)
{
    const auto* it = jobs_.find(submission_id);
    if (it != nullptr)
    {
        // Without a lease and before the ledger knows of the end, a successor may end the job too,
        // and two copies would get different answers.
        return !it->is_finish_due || of_.shared.members.has_lease();
    }
    return jobs_.refusal_of(submission_id, context_.now()) != nullptr;
}

void job_flow::submit(schema::submission submission, const job_waiter& waiter)
{
    ++context_.counters.submissions;
    const auto& id = submission.submission_id();
    const auto digest = base::content_digest(submission.SerializeAsString());
    if (auto* known = jobs_.find(id))
    {
        join(*known, submission, digest, waiter);
        return;
    }
    if (const auto* known = jobs_.refusal_of(id, context_.now()))
    {
        ++context_.counters.refused;
        waiters_.answer(waiter, repeated_answer(*known, context_.now()));
        return;
    }
    if (is_draining_)
    {
        refuse(submission, digest, waiter,
               make_refusal(base::error_kind::draining, "the entry is draining",
                            context_.ports.random));
        return;
    }
    if (const auto why = of_.policy.check(submission))
    {
        refuse(submission, digest, waiter, *why);
        return;
    }
    accept(std::move(submission), digest, waiter);
}

void job_flow::join(job& it, const schema::submission& submission, const std::string& digest,
                    const job_waiter& waiter)
{
    if (it.digest != digest)
    {
        auto answer = conflict_answer(submission.submission_id());
        if (!it.is_claimed)
        {
            // Until the ledger has granted this job's claim, the other content may be the one that
            // ran.
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

bool job_flow::needs_ledger(const std::string& submission_id)
{
    return of_.routes.had_other_home(submission_id, context_.now()) ||
           jobs_.was_finished(submission_id);
}

void job_flow::refuse(const schema::submission& submission, const std::string& digest,
                      const job_waiter& waiter, const refusal& why)
{
    const auto& id = submission.submission_id();
    const bool is_unknown = needs_ledger(id);
    if (is_unknown && verifying_ < max_verifying)
    {
        // Another epoch may have run the job; only the claim tells whether nothing of it ran.
        auto& it = jobs_.add(submission, digest, context_.now());
        it.phase = job_phase::verifying;
        it.is_verified = false;
        it.refusal = why.reason;
        it.retry_after = why.retry_after;
        ++verifying_;
        waiters_.add(it, waiter);
        jobs_.wake_at(it.number, it.answer_by);
        of_.claims.claim(id, digest);
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

void job_flow::accept(schema::submission submission, const std::string& digest,
                      const job_waiter& waiter)
{
    auto& it = jobs_.add(std::move(submission), digest, context_.now());
    it.is_verified = !needs_ledger(it.id());
    it.waiting = static_cast<std::uint32_t>(it.tasks.size());
    of_.shared.queue.reserve(it);
    context_.ports.events.record("job_accepted",
                                 {{"submission", it.id()}, {"tasks", absl::StrCat(it.waiting)}});
    waiters_.add(it, waiter);
    jobs_.wake_at(it.number, it.answer_by);
    of_.claims.claim(it.id(), digest);
}

void job_flow::refuse_job(job& it, const base::reason& why, absl::Duration retry_after)
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
    drop(it);
}

bool job_flow::refuse_if_late(job& it)
{
    const auto why = of_.policy.check_start(it);
    if (why)
    {
        refuse_job(it, why->reason, why->retry_after);
    }
    return why.has_value();
}

void job_flow::drop(job& it)
{
    of_.shared.queue.remove(it);
    of_.takeovers.remove(it);
    former_.remove(it.number);
    of_.starts.release(it);
    of_.starts.abandon_attempts(it);
    if (it.phase == job_phase::verifying)
    {
        --verifying_;
    }
    jobs_.erase(it);
}

void job_flow::progressed(job& it)
{
    const auto now = context_.now();
    if (it.phase == job_phase::closing)
    {
        check_closing(it, now);
    }
    else if (!it.is_ended() && it.succeeded == it.tasks.size())
    {
        end(it, complete_answer(it, now));
    }
}

void job_flow::fail(job& it, const base::reason& why)
{
    if (it.is_ended() || it.phase == job_phase::closing)
    {
        return;
    }
    of_.shared.queue.remove(it);
    of_.starts.cancel(it);
    const auto now = context_.now();
    if (it.count(task_phase::sent) > 0 && !it.has_started())
    {
        // The agents' answers decide whether the caller can be told that nothing ran.
        it.phase = job_phase::closing;
        it.failure = why;
        it.close_by = now + closing_time;
        jobs_.wake_at(it.number, it.close_by);
        return;
    }
    end(it, failed_answer(it, why, now));
}

void job_flow::check_closing(job& it, absl::Time now)
{
    if (it.count(task_phase::sent) == 0 || it.has_started() || now >= it.close_by)
    {
        end(it, failed_answer(it, it.failure, now));
    }
}

void job_flow::end(job& it, schema::job_answer answer)
{
    const bool is_complete = answer.state() == schema::job_state_complete;
    ++(is_complete ? context_.counters.completed : context_.counters.failed);
    if (it.phase == job_phase::verifying)
    {
        --verifying_;
    }
    of_.shared.queue.remove(it);
    of_.takeovers.remove(it);
    former_.remove(it.number);
    it.phase = job_phase::ended;
    it.answer = std::move(answer);
    it.retain_until = context_.now() + of_.policy.answer_retention();
    jobs_.job_ended(it);
    jobs_.wake_at(it.number, it.retain_until);
    if (it.answer->not_run() != schema::not_run_true)
    {
        it.is_finish_due = true;
        if (it.is_claimed)
        {
            of_.claims.finish(it.id());
        }
    }
    context_.ports.events.record(
        "job_answered", {{"submission", it.id()},
                         {"state", is_complete ? "complete" : "failed"},
                         {"reason", name_of(base::error_kind_from(it.answer->error_kind()))}});
    waiters_.answer_all(it, *it.answer);
}

void job_flow::finish_acknowledged(const std::string& submission_id)
{
    if (auto* it = jobs_.find(submission_id))
    {
        it->is_finish_due = false;
        forget_if_over(*it, context_.now());
    }
}

void job_flow::forget_if_over(job& it, absl::Time now)
{
    if (!it.is_ended() || it.is_finish_due || now < it.retain_until)
    {
        return;
    }
    if (it.answer->not_run() != schema::not_run_true)
    {
        jobs_.note_finished(it.id(), now);
    }
    drop(it);
}

void job_flow::due(job& it, absl::Time now)
{
    if (it.is_ended())
    {
        forget_if_over(it, now);
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
        begin(it);
    }
    waiters_.answer_overdue(it, now);
}

void job_flow::tick()
{
    const auto now = context_.now();
    jobs_.expire_refusals(now);
    former_.tick();
    for (const auto number : jobs_.due(now))
    {
        if (auto* it = jobs_.find(number))
        {
            due(*it, now);
        }
    }
}

void job_flow::lookup(const std::string& submission_id, const job_waiter& waiter)
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

void job_flow::cancel(const std::string& submission_id, const job_waiter& waiter)
{
    auto* it = jobs_.find(submission_id);
    if (it == nullptr)
    {
        lookup(submission_id, waiter);
        return;
    }
    auto patient = waiter;
    patient.respond_now = false;
    waiters_.add(*it, patient);
    fail(*it, {base::error_kind::cancelled, "the caller has cancelled the job"});
}

void job_flow::passed_on(const std::string& submission_id)
{
    jobs_.note_finished(submission_id, context_.now());
}

void job_flow::lease_lost()
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

void job_flow::epoch_over()
{
    lease_lost();
    jobs_.for_each(
        [this](job& it)
        {
            of_.starts.abandon_attempts(it);
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
    of_.shared.queue.clear();
    of_.takeovers.clear();
    former_.clear();
    jobs_.clear();
    verifying_ = 0;
}

} // namespace savoryreach::entry
