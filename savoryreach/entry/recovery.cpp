#include "savoryreach/entry/recovery.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

/// Attempts that one epoch makes of one task, at most; keeps the numbers of different owners apart
/// when the records of an earlier owner can't be read.
constexpr std::uint32_t attempts_per_owner = 100;

/// A success decides a task, a running attempt may, and of ended ones the last tells most.
int rank(const schema::started_task& it)
{
    if (it.ended() && it.result().outcome() == schema::task_succeeded)
    {
        return 2;
    }
    return it.ended() ? 0 : 1;
}

} // namespace

recovery::recovery(entry_context& context, membership& members, keeper_client& keepers,
                   job_table& jobs, task_results& results, hooks call)
    : context_(context), members_(members), keepers_(keepers), jobs_(jobs), results_(results),
      call_(std::move(call))
{
}

void recovery::add(job& it)
{
    for (auto& task : it.tasks)
    {
        task.phase = task_phase::unresolved;
        task.next_attempt = attempts_per_owner * static_cast<std::uint32_t>(it.dead_epochs.size());
    }
    for (const auto epoch : it.dead_epochs)
    {
        auto& known = takeovers_[epoch];
        if (known == nullptr)
        {
            known = std::make_unique<takeover>(context_, keepers_, epoch, members_.epoch());
        }
    }
    open_.insert(it.number);
    evaluate(it);
}

void recovery::remove(job& it)
{
    open_.erase(it.number);
}

void recovery::clear()
{
    open_.clear();
    takeovers_.clear();
}

void recovery::receive(const base::node_name& from, const schema::inquiry_reply& reply)
{
    const auto it = takeovers_.find(reply.dead_epoch());
    if (it != takeovers_.end() && it->second->receive(from, reply))
    {
        is_changed_ = true;
    }
}

void recovery::tick()
{
    for (auto& [epoch, it] : takeovers_)
    {
        it->tick();
    }
    const auto now = context_.now();
    if (!is_changed_ && now < evaluate_at_)
    {
        return;
    }
    is_changed_ = false;
    evaluate_at_ = now + evaluate_interval;
    for (const auto number : std::vector<job_number>(open_.begin(), open_.end()))
    {
        if (auto* open = jobs_.find(number))
        {
            evaluate(*open);
        }
    }
}

void recovery::evaluate(job& it)
{
    learn_records(it);
    adopt_successes(it);
    if (it.phase == job_phase::recovering && is_accounted(it))
    {
        resolve(it);
    }
    if (it.is_running())
    {
        check_awaited(it);
    }
    if (it.is_ended() || (it.is_running() && it.count(task_phase::awaited) == 0))
    {
        open_.erase(it.number);
    }
}

void recovery::learn_records(job& it)
{
    for (const auto epoch : it.dead_epochs)
    {
        for (const auto& record : takeovers_.at(epoch)->records_of(it.id()))
        {
            if (record.start.task() >= it.tasks.size())
            {
                continue;
            }
            auto& task = it.tasks[record.start.task()];
            task.has_started = true;
            task.next_attempt = std::max(task.next_attempt, record.start.attempt() + 1);
            it.agents_with_records.insert(record.agent);
        }
    }
}

std::vector<const start_record*> recovery::best_records(const job& it) const
{
    std::vector<const start_record*> best(it.tasks.size());
    for (const auto epoch : it.dead_epochs)
    {
        for (const auto& record : takeovers_.at(epoch)->records_of(it.id()))
        {
            if (record.start.task() >= best.size())
            {
                continue;
            }
            auto& known = best[record.start.task()];
            const auto value = std::pair(rank(record.start), record.start.attempt());
            if (known == nullptr || value > std::pair(rank(known->start), known->start.attempt()))
            {
                known = &record;
            }
        }
    }
    return best;
}

void recovery::adopt_successes(job& it)
{
    const auto records = best_records(it);
    for (std::uint32_t n = 0; n < it.tasks.size() && !it.is_ended(); ++n)
    {
        const auto phase = it.tasks[n].phase;
        if (phase != task_phase::unresolved && phase != task_phase::awaited)
        {
            continue;
        }
        const auto* record = records[n];
        if (record != nullptr && rank(record->start) == 2)
        {
            results_.adopt(it, n, record->agent.name, record->start.result());
        }
    }
}

bool recovery::is_accounted(const job& it) const
{
    return std::ranges::all_of(it.dead_epochs, [this](std::uint64_t epoch)
                               { return takeovers_.at(epoch)->is_accounted(); });
}

absl::Time recovery::fence_over_at(const job& it) const
{
    auto over_at = absl::InfinitePast();
    for (const auto epoch : it.dead_epochs)
    {
        const auto& known = *takeovers_.at(epoch);
        if (known.has_unresolved())
        {
            over_at = std::max(over_at, known.fenced_at() + fence_wait + agent_table::stop_time);
        }
    }
    return over_at;
}

void recovery::resolve(job& it)
{
    const auto over_at = fence_over_at(it);
    const auto records = best_records(it);
    for (std::uint32_t n = 0; n < it.tasks.size(); ++n)
    {
        if (it.phase != job_phase::recovering)
        {
            return;
        }
        if (it.tasks[n].phase == task_phase::unresolved)
        {
            resolve_task(it, n, records[n], over_at);
        }
    }
    if (it.phase == job_phase::recovering)
    {
        call_.resume(it);
    }
}

void recovery::resolve_task(job& it, std::uint32_t index, const start_record* record,
                            absl::Time over_at)
{
    auto& task = it.tasks[index];
    const bool has_gap = over_at != absl::InfinitePast();
    if (record != nullptr && !record->start.ended())
    {
        task.phase = task_phase::awaited;
        task.agent = record->agent;
        task.attempt = record->start.attempt();
    }
    else if (has_gap && (record == nullptr || it.submission.idempotent()))
    {
        // An agent that didn't answer may have started this task, or a later attempt of it.
        results_.adopt_lost(it, index, over_at);
    }
    else if (record != nullptr)
    {
        results_.adopt(it, index, record->agent.name, record->start.result());
    }
    else
    {
        task.phase = task_phase::waiting;
        ++it.waiting;
    }
}

void recovery::check_awaited(job& it)
{
    for (std::uint32_t n = 0; n < it.tasks.size() && it.is_running(); ++n)
    {
        if (it.tasks[n].phase == task_phase::awaited)
        {
            check_awaited(it, n);
        }
    }
}

void recovery::check_awaited(job& it, std::uint32_t index)
{
    auto& task = it.tasks[index];
    for (const auto epoch : it.dead_epochs)
    {
        const auto& known = *takeovers_.at(epoch);
        for (const auto& record : known.records_of(it.id()))
        {
            const bool is_it = record.start.task() == index && record.agent == task.agent &&
                               record.start.attempt() == task.attempt;
            if (!is_it)
            {
                continue;
            }
            if (record.start.ended())
            {
                results_.adopt(it, index, record.agent.name, record.start.result());
            }
            else if (known.is_gone(record.agent))
            {
                results_.adopt_lost(it, index, context_.now());
            }
            return;
        }
    }
}

} // namespace savoryreach::entry
