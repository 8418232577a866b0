#include "savoryreach/entry/dispatcher.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

std::uint32_t to_ms(absl::Duration time)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(time)));
}

} // namespace

dispatcher::dispatcher(const dependencies& of, late_handler refuse_if_late)
    : refuse_if_late_(std::move(refuse_if_late)), of_(of)
{
}

void dispatcher::tick()
{
    if (!of_.members.has_lease())
    {
        return;
    }
    dispatch();
    recall_stragglers();
}

void dispatcher::dispatch()
{
    const auto is_runnable = [this](const std::string& kind)
    {
        return of_.endpoints.is_runnable(kind);
    };
    const auto cost = [this](const std::string& kind)
    {
        return of_.endpoints.expected_run(kind, absl::ZeroDuration());
    };
    std::vector<job*> skipped;
    while (skipped.size() < max_skipped)
    {
        const auto number = of_.queue.queue().next(is_runnable, cost);
        if (!number)
        {
            break;
        }
        auto* it = of_.jobs.find(*number);
        assert(it != nullptr && it->is_running());
        if (it->agents_with_records.empty() && it->dead_epochs.empty() && is_late(*it))
        {
            continue;
        }
        if (!start_one(*it))
        {
            skipped.push_back(it);
        }
    }
    for (auto* it : skipped)
    {
        of_.queue.task_skipped(*it, cost(it->submission.kind()));
    }
}

bool dispatcher::is_late(job& it)
{
    const auto kind = it.submission.kind();
    const auto team = it.submission.team();
    const auto charged = of_.endpoints.expected_run(kind, absl::ZeroDuration());
    if (!refuse_if_late_(it))
    {
        return false;
    }
    // The queue gave out a start that does not take place.
    of_.queue.queue().release_slot(kind, team, charged, absl::ZeroDuration());
    return true;
}

bool dispatcher::start_one(job& it)
{
    auto& index = it.next_waiting;
    while (index < it.tasks.size() && it.tasks[index].phase != task_phase::waiting)
    {
        ++index;
    }
    assert(index < it.tasks.size());
    auto& task = it.tasks[index];
    placement_request request;
    request.kind = it.submission.kind();
    request.declared_run =
        absl::Milliseconds(it.submission.tasks(static_cast<int>(index)).declared_run_ms());
    request.locality = it.submission.locality();
    request.waiting_tasks = it.waiting;
    request.failed_here = task.failed_here;
    const auto chosen = of_.endpoints.choose(request, of_.context.now());
    if (!chosen)
    {
        return false;
    }
    auto* link = of_.agents.find(*chosen);
    assert(link != nullptr && link->credit() > 0);
    send_start(it, index, *link);
    return true;
}

void dispatcher::send_start(job& it, std::uint32_t index, agent_link& link)
{
    const auto now = of_.context.now();
    auto& task = it.tasks[index];
    task.phase = task_phase::sent;
    task.attempt = task.next_attempt++;
    task.agent = link.agent;
    task.sent_at = now;
    task.charged = of_.endpoints.expected_run(it.submission.kind(), absl::ZeroDuration());
    task.is_recalled = false;
    it.agents_with_records.insert(link.agent);
    of_.queue.task_sent(it);
    if (!std::exchange(task.is_retry, false))
    {
        of_.retries.count_start(it.submission.kind());
    }
    else
    {
        ++of_.context.counters.retries;
    }
    ++of_.context.counters.starts;
    of_.agents.count_start(link);
    link.in_flight[{it.number, index}] = task.attempt;
    of_.agents.recalls().set(link, recall_time(task, it.submission.kind()));

    schema::session_item item;
    auto& start = *item.mutable_start();
    start.set_submission_id(it.id());
    start.set_task(index);
    start.set_attempt(task.attempt);
    start.set_kind(it.submission.kind());
    start.set_payload(it.submission.tasks(static_cast<int>(index)).payload());
    start.set_idempotent(it.submission.idempotent());
    start.set_urgency(it.submission.urgency());
    start.set_start_within_ms(to_ms(it.answer_by - now));
    start.set_run_limit_ms(to_ms(it.answer_by - now));
    of_.agents.push(link, std::move(item));
    of_.context.ports.events.record("task_sent", {{"submission", it.id()},
                                                  {"task", absl::StrCat(index)},
                                                  {"attempt", absl::StrCat(task.attempt)},
                                                  {"peer", link.agent.name.value()}});
}

absl::Time dispatcher::recall_time(const job_task& task, const std::string& kind) const
{
    return task.sent_at + recall_interval +
           of_.endpoints.expected_run_at(task.agent.name, kind) * recall_after_runs;
}

void dispatcher::recall_stragglers()
{
    const auto now = of_.context.now();
    for (auto* link : of_.agents.recalls().take_due(now))
    {
        if (link->phase != link_phase::lost)
        {
            recall_from(*link, now);
        }
    }
}

void dispatcher::recall_from(agent_link& link, absl::Time now)
{
    auto next = absl::InfiniteFuture();
    for (const auto& [key, attempt] : link.in_flight)
    {
        auto* it = of_.jobs.find(key.first);
        if (it == nullptr || !it->is_running() || it->tasks[key.second].is_recalled)
        {
            continue;
        }
        auto& task = it->tasks[key.second];
        const auto& kind = it->submission.kind();
        const auto due = recall_time(task, kind);
        const bool is_due = due <= now;
        // A recalled task needs another endpoint that could take it.
        if (!is_due || it->waiting > 0 ||
            !of_.endpoints.is_runnable_elsewhere(kind, link.agent.name))
        {
            next = std::min(next, is_due ? now + recall_interval : due);
            continue;
        }
        task.is_recalled = true;
        schema::session_item item;
        auto& recall = *item.mutable_recall();
        recall.set_submission_id(it->id());
        recall.set_task(key.second);
        recall.set_attempt(attempt);
        of_.agents.push(link, std::move(item));
    }
    of_.agents.recalls().set(link, next);
}

void dispatcher::cancel(job& it)
{
    absl::btree_set<agent_instance> holders;
    for (const auto& task : it.tasks)
    {
        if (task.phase == task_phase::sent || task.phase == task_phase::awaited)
        {
            holders.insert(task.agent);
        }
    }
    for (const auto& life : holders)
    {
        if (auto* link = of_.agents.find(life))
        {
            schema::session_item item;
            item.mutable_cancel()->set_submission_id(it.id());
            of_.agents.push(*link, std::move(item));
        }
    }
}

void dispatcher::release(job& it)
{
    for (const auto& life : it.agents_with_records)
    {
        if (auto* link = of_.agents.find(life))
        {
            schema::session_item item;
            item.mutable_release()->set_submission_id(it.id());
            of_.agents.push_later(*link, std::move(item));
        }
    }
}

void dispatcher::abandon_attempts(job& it)
{
    for (std::uint32_t n = 0; n < it.tasks.size(); ++n)
    {
        auto& task = it.tasks[n];
        if (task.phase != task_phase::sent)
        {
            continue;
        }
        task.phase = task_phase::failed;
        task.may_have_started = true;
        of_.queue.attempt_ended(it, task.charged, task.charged);
        if (auto* link = of_.agents.find(task.agent))
        {
            link->in_flight.erase({it.number, n});
            of_.agents.attempt_ended(*link, it, attempt_result::not_started, absl::ZeroDuration());
        }
    }
}

} // namespace savoryreach::entry
