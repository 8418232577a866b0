#include "savoryreach/entry/task_results.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryreach::entry
{

task_results::task_results(const dispatcher::dependencies& core_parts, hooks handlers)
    : parts_(core_parts), hooks_(std::move(handlers))
{
}

void task_results::receive(agent_link& link, const schema::session_item& item)
{
    if (item.has_result())
    {
        handle_result(link, item.result());
    }
    else if (item.has_recall_result())
    {
        handle_recall_result(link, item.recall_result());
    }
}

job* task_results::remove_in_flight(agent_link& link, const std::string& submission_id,
                                    std::uint32_t task, std::uint32_t attempt)
{
    auto* it = parts_.jobs.find(submission_id);
    if (it == nullptr)
    {
        return nullptr;
    }
    const auto found = link.in_flight.find({it->number, task});
    if (found == link.in_flight.end() || found->second != attempt)
    {
        return nullptr;
    }
    link.in_flight.erase(found);
    assert(it->tasks[task].phase == task_phase::sent && it->tasks[task].agent == link.agent);
    return it;
}

void task_results::record_attempt_end(job& it, job_task& task, const agent_link& link,
                                      attempt_result how, absl::Duration run_time)
{
    parts_.queue.attempt_ended(it, task.charged, run_time);
    parts_.agents.attempt_ended(link, it, how, run_time);
}

void task_results::handle_result(agent_link& link, const schema::task_result& result)
{
    auto* it = remove_in_flight(link, result.submission_id(), result.task(), result.attempt());
    if (it == nullptr)
    {
        return;
    }
    parts_.context.ports.events.record(
        "result_received", {{"submission", it->id()},
                            {"task", absl::StrCat(result.task())},
                            {"attempt", absl::StrCat(result.attempt())},
                            {"outcome", absl::StrCat(static_cast<int>(result.outcome()))},
                            {"peer", link.agent.name.value()}});
    auto& task = it->tasks[result.task()];
    const auto run_time = absl::Microseconds(result.run_us());
    switch (result.outcome())
    {
    case schema::task_succeeded:
        record_attempt_end(*it, task, link, attempt_result::succeeded, run_time);
        break;
    case schema::task_not_started:
        record_attempt_end(*it, task, link, attempt_result::not_started, absl::ZeroDuration());
        break;
    default:
        record_attempt_end(*it, task, link, attempt_result::failed, run_time);
        break;
    }
    apply(*it, result.task(), link.agent.name, result);
}

void task_results::handle_recall_result(agent_link& link, const schema::recall_result& result)
{
    if (!result.returned())
    {
        return;
    }
    auto* it = remove_in_flight(link, result.submission_id(), result.task(), result.attempt());
    if (it != nullptr)
    {
        record_attempt_end(*it, it->tasks[result.task()], link, attempt_result::not_started,
                           absl::ZeroDuration());
        handle_not_started(*it, result.task());
    }
}

void task_results::apply(job& it, std::uint32_t index, const base::node_name& agent,
                         const schema::task_result& result)
{
    auto& task = it.tasks[index];
    switch (result.outcome())
    {
    case schema::task_succeeded:
        handle_success(it, task, result.output());
        break;
    case schema::task_failed:
        handle_failure(it, index, agent, result.reason());
        break;
    case schema::task_not_started:
        handle_not_started(it, index);
        break;
    default:
        task.has_started = true;
        // The endpoint may still be running the task. The agent stops it within the stop time.
        handle_unknown_outcome(it, index, result.reason(),
                               parts_.context.now() + agent_table::stop_time);
        break;
    }
}

void task_results::handle_success(job& it, job_task& task, const std::string& output)
{
    task.phase = task_phase::succeeded;
    task.has_started = true;
    if (!it.is_ended())
    {
        task.output = output;
    }
    ++it.succeeded;
    hooks_.task_ended(it);
}

void task_results::handle_failure(job& it, std::uint32_t index, const base::node_name& agent,
                                  const std::string& reason)
{
    auto& task = it.tasks[index];
    task.phase = task_phase::failed;
    task.has_started = true;
    ++task.failures;
    task.consecutive_not_started = 0;
    if (std::ranges::find(task.failed_here, agent) == task.failed_here.end())
    {
        task.failed_here.push_back(agent);
    }
    it.failed_at.insert(agent);
    it.last_reason = {base::error_kind::task_failed, reason};
    if (!it.is_running() && it.phase != job_phase::recovering)
    {
        hooks_.task_ended(it);
        return;
    }
    const bool is_endpoint_limit_reached =
        it.succeeded == 0 && it.failed_at.size() >= max_failed_endpoints;
    if (!it.submission.idempotent() || is_endpoint_limit_reached || task.failures >= max_failures)
    {
        hooks_.job_failed(it, it.last_reason);
        return;
    }
    delay(it, index, parts_.context.now(), true);
}

void task_results::handle_not_started(job& it, std::uint32_t index)
{
    auto& task = it.tasks[index];
    task.phase = task_phase::failed;
    if (!it.is_running() && it.phase != job_phase::recovering)
    {
        hooks_.task_ended(it);
        return;
    }
    const bool is_repeated = ++task.consecutive_not_started > max_unpaused_returns;
    // An attempt that never started does not make the next one a retry. A task that already needed
    // a retry keeps needing the retry budget.
    const auto pause = is_repeated ? retry_pause : absl::ZeroDuration();
    delay(it, index, parts_.context.now() + pause, false);
}

void task_results::handle_unknown_outcome(job& it, std::uint32_t index, const std::string& reason,
                                          absl::Time retry_at)
{
    auto& task = it.tasks[index];
    task.phase = task_phase::failed;
    if (!it.is_running() && it.phase != job_phase::recovering)
    {
        hooks_.task_ended(it);
        return;
    }
    it.last_reason = {base::error_kind::outcome_unknown, reason};
    if (!it.submission.idempotent())
    {
        hooks_.job_failed(it, it.last_reason);
        return;
    }
    delay(it, index, retry_at, true);
}

void task_results::agent_lost(agent_link& link)
{
    for (const auto& [key, attempt] : std::exchange(link.in_flight, {}))
    {
        auto* it = parts_.jobs.find(key.first);
        if (it == nullptr)
        {
            continue;
        }
        auto& task = it->tasks[key.second];
        parts_.queue.attempt_ended(*it, task.charged, task.charged);
        task.may_have_started = true;
        handle_unknown_outcome(*it, key.second,
                               absl::StrCat("agent ", link.agent.name.value(), " was lost"),
                               parts_.context.now());
    }
}

void task_results::adopt(job& it, std::uint32_t index, const base::node_name& agent,
                         const schema::task_result& result)
{
    apply(it, index, agent, result);
}

void task_results::adopt_lost(job& it, std::uint32_t index, absl::Time ended_by)
{
    it.tasks[index].may_have_started = true;
    handle_unknown_outcome(it, index, "an earlier owner may have started the task", ended_by);
}

void task_results::delay(job& it, std::uint32_t index, absl::Time until, bool is_retry)
{
    auto& task = it.tasks[index];
    task.phase = task_phase::delayed;
    task.is_retry = task.is_retry || is_retry;
    task.retry_at = until;
    if (until <= parts_.context.now())
    {
        try_requeue(it, index);
        return;
    }
    delayed_.emplace(until, it.number, index);
}

void task_results::try_requeue(job& it, std::uint32_t index)
{
    auto& task = it.tasks[index];
    const bool is_allowed =
        it.is_running() && (!task.is_retry || parts_.retries.try_consume(it.submission.kind()));
    if (!is_allowed)
    {
        task.retry_at = parts_.context.now() + retry_pause;
        delayed_.emplace(task.retry_at, it.number, index);
        return;
    }
    task.phase = task_phase::waiting;
    it.next_waiting = std::min(it.next_waiting, index);
    parts_.queue.requeue(it);
}

void task_results::tick()
{
    const auto now = parts_.context.now();
    while (!delayed_.empty() && std::get<0>(*delayed_.begin()) <= now)
    {
        const auto [at, number, index] = *delayed_.begin();
        delayed_.erase(delayed_.begin());
        auto* it = parts_.jobs.find(number);
        const bool is_open =
            it != nullptr && (it->is_running() || it->phase == job_phase::recovering);
        if (is_open && it->tasks[index].phase == task_phase::delayed)
        {
            try_requeue(*it, index);
        }
    }
}

} // namespace savoryreach::entry
