#include "savoryreach/agent/task_runner.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::agent
{
namespace
{

/// Allows 83 starts per second with a retention of 10 minutes. A record takes up to 600 bytes, so
/// that the records, 16 MB of results and the process itself fit into 64 MB.
constexpr std::size_t max_start_records = 50'000;

template <typename Message>
base::attempt_id id_of(const Message& message)
{
    return {message.submission_id(), message.task(), message.attempt()};
}

schema::task_result result_for(const base::attempt_id& id, schema::task_outcome outcome)
{
    schema::task_result result;
    result.set_submission_id(id.submission_id);
    result.set_task(id.task);
    result.set_attempt(id.attempt);
    result.set_outcome(outcome);
    return result;
}

std::uint64_t microseconds(absl::Duration duration)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, absl::ToInt64Microseconds(duration)));
}

schema::task_outcome outcome_of(run_outcome::result kind)
{
    switch (kind)
    {
    case run_outcome::result::succeeded:
        return schema::task_succeeded;
    case run_outcome::result::failed:
        return schema::task_failed;
    case run_outcome::result::unknown:
        break;
    }
    return schema::task_unknown;
}

} // namespace

task_runner::task_runner(std::uint32_t slots, std::size_t max_result_bytes, ports ports)
    : ports_(ports), slots_(slots), records_(max_result_bytes)
{
}

std::optional<std::string_view> task_runner::refusal_reason(const base::attempt_id& id,
                                                            std::uint64_t epoch,
                                                            bool is_idempotent) const
{
    if (is_draining_)
    {
        return "the endpoint is draining";
    }
    if (!ports_.sessions.may_start(epoch))
    {
        return "no valid session lease or registration";
    }
    if (records_.was_recalled(id, epoch))
    {
        return "the attempt was recalled";
    }
    if (!is_idempotent && records_.has_other_attempt(id))
    {
        return "another attempt of the task was started here";
    }
    if (is_idempotent && records_.has_other_running(id))
    {
        return "another attempt of the task is running here";
    }
    if (records_.size() >= max_start_records)
    {
        return "too many start records";
    }
    return std::nullopt;
}

template <typename Start>
void task_runner::release_credit(const Start& start)
{
    if (start.is_credited)
    {
        ports_.credits.start_ended(start.epoch);
    }
}

void task_runner::receive_start(std::uint64_t epoch, const schema::task_start& start)
{
    const auto id = id_of(start);
    record_event("task_received", id, epoch);
    if (const auto* known = records_.find(id))
    {
        answer_duplicate_start(epoch, *known);
        return;
    }
    if (slots_.is_waiting(id))
    {
        // The result of the first copy also answers this one.
        return;
    }
    const auto now = ports_.clock.now();
    waiting_start waiting{.id = id,
                          .epoch = epoch,
                          .is_credited = ports_.credits.start_received(epoch),
                          .start = start,
                          .received_at = now,
                          .start_by = now + absl::Milliseconds(start.start_within_ms())};
    if (const auto reason = refusal_reason(id, epoch, start.idempotent()))
    {
        refuse(waiting, *reason);
        return;
    }
    slots_.add_waiting(std::move(waiting));
}

void task_runner::answer_duplicate_start(std::uint64_t epoch, const start_record::attempt& attempt)
{
    record_event("task_refused", attempt.id, epoch, "the attempt was started before");
    schema::session_item item;
    if (attempt.is_ended)
    {
        *item.mutable_result() = attempt.result;
    }
    else if (attempt.epoch != epoch)
    {
        // The attempt was started, so the answer can't be "not started", and its result is sent
        // only to the epoch that started it.
        *item.mutable_result() = result_for(attempt.id, schema::task_unknown);
        item.mutable_result()->set_reason("the attempt was started for another epoch");
    }
    else
    {
        return;
    }
    ports_.sessions.push(epoch, std::move(item));
}

void task_runner::refuse(std::uint64_t epoch, const base::attempt_id& id, std::string_view reason,
                         absl::Duration waited)
{
    record_event("task_refused", id, epoch, reason);
    schema::session_item item;
    auto& result = *item.mutable_result();
    result = result_for(id, schema::task_not_started);
    result.set_reason(std::string(reason));
    result.set_wait_us(microseconds(waited));
    ports_.sessions.push(epoch, std::move(item));
}

void task_runner::refuse(const waiting_start& waiting, std::string_view reason)
{
    release_credit(waiting);
    refuse(waiting.epoch, waiting.id, reason, ports_.clock.now() - waiting.received_at);
}

void task_runner::receive_recall(std::uint64_t epoch, const schema::task_recall& recall)
{
    const auto id = id_of(recall);
    const bool was_started = records_.find(id) != nullptr;
    if (!was_started)
    {
        for (const auto& waiting : slots_.remove_waiting(
                 [&](const auto& item) { return item.id == id && item.epoch == epoch; }))
        {
            release_credit(waiting);
        }
        records_.add_recall(id, epoch, ports_.clock.now());
    }
    schema::session_item item;
    auto& result = *item.mutable_recall_result();
    result.set_submission_id(id.submission_id);
    result.set_task(id.task);
    result.set_attempt(id.attempt);
    result.set_returned(!was_started);
    ports_.sessions.push(epoch, std::move(item));
}

void task_runner::receive_cancel(std::uint64_t epoch, const schema::task_cancel& cancel)
{
    for (const auto& waiting : slots_.remove_waiting(
             [&](const auto& item)
             { return item.epoch == epoch && item.id.submission_id == cancel.submission_id(); }))
    {
        refuse(waiting, "the job was cancelled");
    }
    slots_.for_each_running(
        [&](std::uint64_t run_id, running_start& run)
        {
            if (run.epoch == epoch && run.is_idempotent &&
                run.id.submission_id == cancel.submission_id())
            {
                request_stop(run_id, run);
            }
        });
}

void task_runner::receive_release(std::uint64_t epoch, const schema::job_release& release,
                                  absl::FunctionRef<bool(std::uint64_t)> is_fenced)
{
    records_.release(release.submission_id(),
                     [&](std::uint64_t owner) { return owner == epoch || is_fenced(owner); });
}

void task_runner::discard_waiting(std::uint64_t epoch, std::string_view reason)
{
    for (const auto& waiting :
         slots_.remove_waiting([epoch](const auto& item) { return item.epoch == epoch; }))
    {
        refuse(waiting, reason);
    }
}

void task_runner::request_stop(std::uint64_t run_id, running_start& run)
{
    if (!std::exchange(run.is_stop_requested, true))
    {
        ports_.endpoint.stop(run_id);
    }
}

void task_runner::stop_running(std::uint64_t epoch)
{
    slots_.for_each_running(
        [&](std::uint64_t run_id, running_start& run)
        {
            if (run.epoch == epoch)
            {
                request_stop(run_id, run);
            }
        });
}

void task_runner::begin_drain()
{
    is_draining_ = true;
    for (const auto& waiting : slots_.remove_waiting([](const auto&) { return true; }))
    {
        refuse(waiting, "the endpoint is draining");
    }
}

void task_runner::abandon_all()
{
    for (const auto& waiting : slots_.remove_waiting([](const auto&) { return true; }))
    {
        release_credit(waiting);
    }
    slots_.for_each_running(
        [&](std::uint64_t run_id, running_start& run)
        {
            run.is_abandoned = true;
            request_stop(run_id, run);
        });
    records_.clear();
    counters_.clear();
}

std::optional<std::uint64_t> task_runner::run_ended(std::uint64_t run_id,
                                                    const run_outcome& outcome)
{
    const auto run = slots_.remove_running(run_id);
    if (!run)
    {
        return std::nullopt;
    }
    release_credit(*run);
    if (run->is_abandoned)
    {
        return std::nullopt;
    }
    const auto now = ports_.clock.now();
    schema::session_item item;
    auto& result = *item.mutable_result();
    result = result_for(run->id, outcome_of(outcome.kind));
    result.set_output(outcome.output);
    result.set_reason(outcome.reason);
    result.set_run_us(microseconds(now - run->started_at));
    result.set_wait_us(microseconds(run->started_at - run->received_at));
    counters_.count(run->kind, result);
    records_.set_result(run->id, result, now);
    record_event("task_ended", run->id, run->epoch, schema::task_outcome_Name(result.outcome()));
    ports_.sessions.push(run->epoch, std::move(item));
    return run->epoch;
}

void task_runner::tick()
{
    const auto now = ports_.clock.now();
    records_.expire(now);
    for (const auto& waiting :
         slots_.remove_waiting([now](const auto& item) { return now >= item.start_by; }))
    {
        refuse(waiting, "the start deadline has passed");
    }
    slots_.for_each_running(
        [&](std::uint64_t run_id, running_start& run)
        {
            if (now >= run.stop_at)
            {
                request_stop(run_id, run);
            }
        });
    while (auto next = slots_.pop_next())
    {
        if (const auto reason = refusal_reason(next->id, next->epoch, next->start.idempotent()))
        {
            refuse(*next, *reason);
        }
        else
        {
            start_run(*std::move(next));
        }
    }
}

void task_runner::start_run(waiting_start next)
{
    const auto now = ports_.clock.now();
    const auto run_id = ++last_run_id_;
    const auto stop_at = now + absl::Milliseconds(next.start.run_limit_ms());
    records_.add_start(next.id, next.epoch);
    slots_.add_running(run_id, {.id = next.id,
                                .epoch = next.epoch,
                                .is_credited = next.is_credited,
                                .kind = next.start.kind(),
                                .is_idempotent = next.start.idempotent(),
                                .received_at = next.received_at,
                                .started_at = now,
                                .stop_at = stop_at});
    ++starts_;
    record_event("task_started", next.id, next.epoch);
    ports_.endpoint.run({.run_id = run_id,
                         .attempt = std::move(next.id),
                         .kind = std::move(*next.start.mutable_kind()),
                         .payload = std::move(*next.start.mutable_payload()),
                         .stop_at = stop_at});
}

void task_runner::record_event(std::string_view event, const base::attempt_id& id,
                               std::uint64_t epoch, std::string_view detail)
{
    ports_.events.record(event, {{"submission", id.submission_id},
                                 {"task", absl::StrCat(id.task)},
                                 {"attempt", absl::StrCat(id.attempt)},
                                 {"peer", ports_.sessions.entry_of(epoch)},
                                 {"epoch", absl::StrCat(epoch)},
                                 {"detail", std::string(detail)}});
}

} // namespace savoryreach::agent
