#include "savoryreach/entry/job_table.hpp"

#include "savoryreach/base/digest.hpp"

#include <cassert>

namespace savoryreach::entry
{
namespace
{

std::size_t bytes_of(const job& it)
{
    return it.submission.ByteSizeLong() + (it.answer ? it.answer->ByteSizeLong() : 0);
}

} // namespace

job_table::job_table(std::size_t max_jobs) : max_refusals_(max_jobs) {}

job& job_table::add(schema::submission submission, std::string digest, absl::Time now)
{
    assert(!by_id_.contains(submission.submission_id()));
    const auto number = job_number{++last_number_};
    auto it = std::make_unique<job>(number, std::move(submission), std::move(digest), now);
    auto& added = *it;
    by_id_.emplace(added.id(), &added);
    jobs_.emplace(number, std::move(it));
    bytes_ += bytes_of(added);
    ++open_jobs_;
    return added;
}

job* job_table::find(const std::string& submission_id)
{
    const auto it = by_id_.find(submission_id);
    return it != by_id_.end() ? it->second : nullptr;
}

job* job_table::find(job_number number)
{
    const auto it = jobs_.find(number);
    return it != jobs_.end() ? it->second.get() : nullptr;
}

void job_table::job_ended(job& it)
{
    assert(it.answer.has_value());
    --open_jobs_;
    bytes_ += it.answer->ByteSizeLong();
}

void job_table::erase(job& it)
{
    if (!it.is_ended())
    {
        --open_jobs_;
    }
    bytes_ -= bytes_of(it);
    by_id_.erase(it.id());
    jobs_.erase(it.number);
}

void job_table::clear()
{
    jobs_.clear();
    by_id_.clear();
    wake_ups_.clear();
    bytes_ = 0;
    open_jobs_ = 0;
}

void job_table::wake_at(job_number number, absl::Time at)
{
    wake_ups_.emplace(at, number);
}

std::vector<job_number> job_table::due(absl::Time now)
{
    std::vector<job_number> due;
    while (!wake_ups_.empty() && wake_ups_.begin()->first <= now)
    {
        due.push_back(wake_ups_.begin()->second);
        wake_ups_.erase(wake_ups_.begin());
    }
    return due;
}

bool job_table::remember_refusal(const std::string& submission_id, remembered_refusal it)
{
    if (refusals_.size() >= max_refusals_)
    {
        return false;
    }
    refusal_order_.emplace_back(it.until, submission_id);
    refusals_.insert_or_assign(submission_id, std::move(it));
    return true;
}

const remembered_refusal* job_table::refusal_of(const std::string& submission_id, absl::Time now)
{
    const auto it = refusals_.find(submission_id);
    return it != refusals_.end() && now < it->second.until ? &it->second : nullptr;
}

void job_table::expire_refusals(absl::Time now)
{
    // Retry times differ only by their jitter, so a refusal is kept at most that much longer behind
    // another one.
    while (!refusal_order_.empty() && refusal_order_.front().first <= now)
    {
        const auto it = refusals_.find(refusal_order_.front().second);
        if (it != refusals_.end() && it->second.until <= now)
        {
            refusals_.erase(it);
        }
        refusal_order_.pop_front();
    }
}

void job_table::remember_finished(const std::string& submission_id, absl::Time now)
{
    const auto hash = base::stable_hash(submission_id);
    if (finished_.insert_or_assign(hash, now + finished_retention).second)
    {
        finished_order_.push_back(hash);
    }
    while (!finished_order_.empty() &&
           (finished_order_.size() > max_finished || finished_[finished_order_.front()] <= now))
    {
        finished_.erase(finished_order_.front());
        finished_order_.pop_front();
    }
}

bool job_table::was_finished(const std::string& submission_id) const
{
    return finished_.contains(base::stable_hash(submission_id));
}

void job_table::for_each(const std::function<void(job&)>& visit)
{
    for (const auto& [number, it] : jobs_)
    {
        visit(*it);
    }
}

void job_table::for_each(const std::function<void(const job&)>& visit) const
{
    for (const auto& [number, it] : jobs_)
    {
        visit(*it);
    }
}

} // namespace savoryreach::entry
