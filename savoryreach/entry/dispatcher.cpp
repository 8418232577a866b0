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

dispatcher::dispatcher(const dependencies& deps, late_handler refuse_if_late)
    : refuse_if_late_(std::move(refuse_if_late)), deps_(deps)
{
}

void dispatcher::tick()
{
    if (!deps_.members.has_lease())
    {
        return;
    }
    dispatch();
    recall_delayed_tasks();
}

void dispatcher::dispatch()
{
    const auto is_runnable = [this](const std::string& kind)
    {
        return deps_.endpoints.is_runnable(kind);
    };
    const auto cost = [this](const std::string& kind)
    {
        return deps_.endpoints.expected_run(kind, absl::ZeroDuration());
    };
    std::vector<job*> skipped;
    while (skipped.size() < max_skipped_per_pass)
    {
        const auto number = deps_.queue.queue().next(is_runnable, cost);
        if (!number)
        {
            break;
        }
        auto* it = deps_.jobs.find(*number);
        assert(it != nullptr && it->is_running());
        if (it->agents_with_records.empty() && it->dead_epochs.empty() && refuse_late_job(*it))
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
        deps_.queue.task_skipped(*it, cost(it->submission.kind()));
    }
}

bool dispatcher::refuse_late_job(job& it)
{
    const auto kind = it.submission.kind();
    const auto team = it.submission.team();
    const auto charged = deps_.endpoints.expected_run(kind, absl::ZeroDuration());
    if (!refuse_if_late_(it))
    {
        return false;
    }
    // The queue has charged a start that does not take place.
    deps_.queue.queue().release_slot(kind, team, charged, absl::ZeroDuration());
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
    request.failed_agents = task.failed_here;
    const auto chosen = deps_.endpoints.choose(request, deps_.context.now());
    if (!chosen)
    {
        return false;
    }
    auto* link = deps_.agents.find(*chosen);
    assert(link != nullptr && link->credit() > 0);
    send_start(it, index, *link);
    return true;
}

void dispatcher::send_start(job& it, std::uint32_t index, agent_link& link)
{
    const auto now = deps_.context.now();
    auto& task = it.tasks[index];
    task.phase = task_phase::sent;
    task.attempt = task.next_attempt++;
    task.agent = link.agent;
    task.sent_at = now;
    task.charged = deps_.endpoints.expected_run(it.submission.kind(), absl::ZeroDuration());
    task.is_recalled = false;
    it.agents_with_records.insert(link.agent);
    deps_.queue.task_sent(it);
    if (!std::exchange(task.is_retry, false))
    {
        deps_.retries.count_start(it.submission.kind());
    }
    else
    {
        ++deps_.context.counters.retries;
    }
    ++deps_.context.counters.starts;
    deps_.agents.count_start(link);
    link.in_flight[{it.number, index}] = task.attempt;
    deps_.agents.recall_timers().set(link, recall_time(task, it.submission.kind()));

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
    deps_.agents.push(link, std::move(item));
    deps_.context.ports.events.record("task_sent", {{"submission", it.id()},
                                                    {"task", absl::StrCat(index)},
                                                    {"attempt", absl::StrCat(task.attempt)},
                                                    {"peer", link.agent.name.value()}});
}

absl::Time dispatcher::recall_time(const job_task& task, const std::string& kind) const
{
    return task.sent_at + recall_interval +
           deps_.endpoints.expected_run_at(task.agent.name, kind) * recall_after_runs;
}

void dispatcher::recall_delayed_tasks()
{
    const auto now = deps_.context.now();
    for (auto* link : deps_.agents.recall_timers().take_due(now))
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
        auto* it = deps_.jobs.find(key.first);
        if (it == nullptr || !it->is_running() || it->tasks[key.second].is_recalled)
        {
            continue;
        }
        auto& task = it->tasks[key.second];
        const auto& kind = it->submission.kind();
        const auto due = recall_time(task, kind);
        const bool is_due = due <= now;
        // A recall is useful only if another endpoint can run the task.
        if (!is_due || it->waiting > 0 ||
            !deps_.endpoints.is_runnable_elsewhere(kind, link.agent.name))
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
        deps_.agents.push(link, std::move(item));
    }
    deps_.agents.recall_timers().set(link, next);
}

void dispatcher::cancel(job& it)
{
    absl::btree_set<agent_instance> agents;
    for (const auto& task : it.tasks)
    {
        if (task.phase == task_phase::sent || task.phase == task_phase::awaited)
        {
            agents.insert(task.agent);
        }
    }
    for (const auto& agent : agents)
    {
        if (auto* link = deps_.agents.find(agent))
        {
            schema::session_item item;
            item.mutable_cancel()->set_submission_id(it.id());
            deps_.agents.push(*link, std::move(item));
        }
    }
}

void dispatcher::release(job& it)
{
    for (const auto& agent : it.agents_with_records)
    {
        if (auto* link = deps_.agents.find(agent))
        {
            schema::session_item item;
            item.mutable_release()->set_submission_id(it.id());
            deps_.agents.push_later(*link, std::move(item));
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
        deps_.queue.attempt_ended(it, task.charged, task.charged);
        if (auto* link = deps_.agents.find(task.agent))
        {
            link->in_flight.erase({it.number, n});
            deps_.agents.attempt_ended(*link, it, attempt_result::not_started,
                                       absl::ZeroDuration());
        }
    }
}

} // namespace savoryreach::entry
