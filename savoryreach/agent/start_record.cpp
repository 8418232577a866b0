#include "savoryreach/agent/start_record.hpp"

#include <cassert>

namespace savoryreach::agent
{
namespace
{

/// Equals the longest time budget of a job: no result is requested after that.
constexpr absl::Duration record_retention = absl::Minutes(10);

} // namespace

void start_record::add_start(const base::attempt_id& id, std::uint64_t epoch)
{
    auto& attempts = submissions_[id.submission_id].attempts;
    const auto [it, is_new] = attempts.try_emplace({id.task, id.attempt});
    assert(is_new);
    it->second.id = id;
    it->second.epoch = epoch;
    ++size_;
}

void start_record::set_result(const base::attempt_id& id, const schema::task_result& result,
                              absl::Time now)
{
    auto* entry = find_mutable(id);
    assert(entry != nullptr && !entry->is_ended);
    if (entry->is_released)
    {
        erase(id);
        return;
    }
    entry->is_ended = true;
    entry->result = result;
    entry->ended_at = now;
    ends_.emplace_back(now, id);
    if (result.output().empty())
    {
        return;
    }
    result_bytes_ += result.output().size();
    outputs_.push_back(id);
    while (result_bytes_ > max_result_bytes_)
    {
        assert(!outputs_.empty());
        if (auto* oldest = find_mutable(outputs_.front()))
        {
            drop_output(*oldest);
        }
        outputs_.pop_front();
    }
}

void start_record::drop_output(attempt& entry)
{
    result_bytes_ -= entry.result.output().size();
    if (!entry.result.output().empty())
    {
        entry.result.clear_output();
        // A success without its output must not be included in a job's answer.
        entry.result.set_outcome(schema::task_unknown);
        entry.result.set_reason("the task has ended and its output was dropped at the agent");
    }
}

void start_record::add_recall(const base::attempt_id& id, std::uint64_t epoch, absl::Time now)
{
    submissions_[id.submission_id].recalled.insert({epoch, {id.task, id.attempt}});
    recalls_.emplace_back(now, epoch, id);
}

const start_record::attempt* start_record::find(const base::attempt_id& id) const
{
    const auto it = submissions_.find(id.submission_id);
    if (it == submissions_.end())
    {
        return nullptr;
    }
    const auto found = it->second.attempts.find({id.task, id.attempt});
    return found == it->second.attempts.end() ? nullptr : &found->second;
}

start_record::attempt* start_record::find_mutable(const base::attempt_id& id)
{
    return const_cast<attempt*>(find(id));
}

bool start_record::was_recalled(const base::attempt_id& id, std::uint64_t epoch) const
{
    const auto it = submissions_.find(id.submission_id);
    return it != submissions_.end() && it->second.recalled.contains({epoch, {id.task, id.attempt}});
}

bool start_record::any_other(const base::attempt_id& id,
                             absl::FunctionRef<bool(const attempt&)> matches) const
{
    const auto found = submissions_.find(id.submission_id);
    if (found == submissions_.end())
    {
        return false;
    }
    const auto& attempts = found->second.attempts;
    for (auto it = attempts.lower_bound({id.task, 0});
         it != attempts.end() && it->first.first == id.task; ++it)
    {
        if (it->first.second != id.attempt && matches(it->second))
        {
            return true;
        }
    }
    return false;
}

bool start_record::has_other_attempt(const base::attempt_id& id) const
{
    return any_other(id, [](const attempt&) { return true; });
}

bool start_record::has_other_running(const base::attempt_id& id) const
{
    return any_other(id, [](const attempt& entry) { return !entry.is_ended; });
}

void start_record::release(const std::string& submission_id,
                           absl::FunctionRef<bool(std::uint64_t)> covers)
{
    const auto found = submissions_.find(submission_id);
    if (found == submissions_.end())
    {
        return;
    }
    auto& record = found->second;
    for (auto it = record.attempts.begin(); it != record.attempts.end();)
    {
        auto& entry = it->second;
        if (!covers(entry.epoch) || !entry.is_ended)
        {
            entry.is_released = entry.is_released || covers(entry.epoch);
            ++it;
            continue;
        }
        result_bytes_ -= entry.result.output().size();
        --size_;
        it = record.attempts.erase(it);
    }
    for (auto it = record.recalled.begin(); it != record.recalled.end();)
    {
        it = covers(it->first) ? record.recalled.erase(it) : std::next(it);
    }
    erase_if_empty(submission_id);
}

void start_record::erase(const base::attempt_id& id)
{
    const auto* entry = find(id);
    assert(entry != nullptr);
    result_bytes_ -= entry->result.output().size();
    --size_;
    submissions_[id.submission_id].attempts.erase({id.task, id.attempt});
    erase_if_empty(id.submission_id);
}

void start_record::erase_if_empty(const std::string& submission_id)
{
    const auto it = submissions_.find(submission_id);
    if (it != submissions_.end() && it->second.attempts.empty() && it->second.recalled.empty())
    {
        submissions_.erase(it);
    }
}

void start_record::expire(absl::Time now)
{
    while (!ends_.empty())
    {
        const auto& [ended_at, id] = ends_.front();
        const auto* entry = find(id);
        const bool is_current = entry != nullptr && entry->ended_at == ended_at;
        if (is_current && now - ended_at < record_retention)
        {
            break;
        }
        if (is_current)
        {
            erase(id);
        }
        ends_.pop_front();
    }
    while (!outputs_.empty() && find(outputs_.front()) == nullptr)
    {
        outputs_.pop_front();
    }
    while (!recalls_.empty())
    {
        const auto& [at, epoch, id] = recalls_.front();
        if (was_recalled(id, epoch) && now - at < record_retention)
        {
            break;
        }
        const auto it = submissions_.find(id.submission_id);
        if (it != submissions_.end())
        {
            it->second.recalled.erase({epoch, {id.task, id.attempt}});
            erase_if_empty(id.submission_id);
        }
        recalls_.pop_front();
    }
}

void start_record::clear()
{
    submissions_.clear();
    ends_.clear();
    outputs_.clear();
    recalls_.clear();
    result_bytes_ = 0;
    size_ = 0;
}

void start_record::for_each(absl::FunctionRef<void(const attempt&)> visit) const
{
    for (const auto& [submission, record] : submissions_)
    {
        for (const auto& [key, entry] : record.attempts)
        {
            visit(entry);
        }
    }
}

} // namespace savoryreach::agent
