#include "savoryreach/entry/recovery.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

/// Maximum number of attempts that one epoch makes of one task. Keeps the attempt numbers of
/// different owners distinct when the records of an earlier owner cannot be read.
constexpr std::uint32_t attempts_per_owner = 100;

/// Ranks how much a record determines the outcome of its task: a success is final, a running
/// attempt may still succeed, and among other ended attempts the latest one counts.
int certainty(const schema::started_task& it)
{
    if (it.ended() && it.result().outcome() == schema::task_succeeded)
    {
        return 2;
    }
    return it.ended() ? 0 : 1;
}

} // namespace

recovery::recovery(entry_context& context, membership& members, keeper_client& keepers,
                   job_table& jobs, task_results& results, hooks handlers)
    : context_(context), members_(members), keepers_(keepers), jobs_(jobs), results_(results),
      hooks_(std::move(handlers))
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
        auto& epoch_takeover = takeovers_[epoch];
        if (epoch_takeover == nullptr)
        {
            epoch_takeover =
                std::make_unique<takeover>(context_, keepers_, epoch, members_.epoch());
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
        has_new_reply_ = true;
    }
}

void recovery::tick()
{
    for (auto& [epoch, it] : takeovers_)
    {
        it->tick();
    }
    const auto now = context_.now();
    if (!has_new_reply_ && now < evaluate_at_)
    {
        return;
    }
    has_new_reply_ = false;
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
    apply_start_records(it);
    adopt_successes(it);
    if (it.phase == job_phase::recovering && is_inquiry_complete(it))
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

void recovery::apply_start_records(job& it)
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

std::vector<const start_record*> recovery::decisive_records(const job& it) const
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
            auto& most_certain = best[record.start.task()];
            const auto candidate = std::pair(certainty(record.start), record.start.attempt());
            if (most_certain == nullptr || candidate > std::pair(certainty(most_certain->start),
                                                                 most_certain->start.attempt()))
            {
                most_certain = &record;
            }
        }
    }
    return best;
}

void recovery::adopt_successes(job& it)
{
    const auto records = decisive_records(it);
    for (std::uint32_t n = 0; n < it.tasks.size() && !it.is_ended(); ++n)
    {
        const auto phase = it.tasks[n].phase;
        if (phase != task_phase::unresolved && phase != task_phase::awaited)
        {
            continue;
        }
        const auto* record = records[n];
        if (record != nullptr && certainty(record->start) == 2)
        {
            results_.adopt(it, n, record->agent.name, record->start.result());
        }
    }
}

bool recovery::is_inquiry_complete(const job& it) const
{
    return std::ranges::all_of(it.dead_epochs, [this](std::uint64_t epoch)
                               { return takeovers_.at(epoch)->is_inquiry_complete(); });
}

absl::Time recovery::fence_wait_end(const job& it) const
{
    auto ended_by = absl::InfinitePast();
    for (const auto epoch : it.dead_epochs)
    {
        const auto& epoch_takeover = *takeovers_.at(epoch);
        if (epoch_takeover.has_unresolved())
        {
            ended_by = std::max(ended_by,
                                epoch_takeover.fenced_at() + fence_wait + agent_table::stop_time);
        }
    }
    return ended_by;
}

void recovery::resolve(job& it)
{
    const auto ended_by = fence_wait_end(it);
    const auto records = decisive_records(it);
    for (std::uint32_t n = 0; n < it.tasks.size(); ++n)
    {
        if (it.phase != job_phase::recovering)
        {
            return;
        }
        if (it.tasks[n].phase == task_phase::unresolved)
        {
            resolve_task(it, n, records[n], ended_by);
        }
    }
    if (it.phase == job_phase::recovering)
    {
        hooks_.resume(it);
    }
}

void recovery::resolve_task(job& it, std::uint32_t index, const start_record* record,
                            absl::Time ended_by)
{
    auto& task = it.tasks[index];
    const bool has_unresolved_agent = ended_by != absl::InfinitePast();
    if (record != nullptr && !record->start.ended())
    {
        task.phase = task_phase::awaited;
        task.agent = record->agent;
        task.attempt = record->start.attempt();
    }
    else if (has_unresolved_agent && (record == nullptr || it.submission.idempotent()))
    {
        // An agent that did not answer may have started this task or a later attempt of it.
        results_.adopt_lost(it, index, ended_by);
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
        const auto& epoch_takeover = *takeovers_.at(epoch);
        for (const auto& record : epoch_takeover.records_of(it.id()))
        {
            const bool is_awaited_attempt = record.start.task() == index &&
                                            record.agent == task.agent &&
                                            record.start.attempt() == task.attempt;
            if (!is_awaited_attempt)
            {
                continue;
            }
            if (record.start.ended())
            {
                results_.adopt(it, index, record.agent.name, record.start.result());
            }
            else if (epoch_takeover.is_unresponsive(record.agent))
            {
                results_.adopt_lost(it, index, context_.now());
            }
            return;
        }
    }
}

} // namespace savoryreach::entry
