#include "savoryreach/entry/job_waiters.hpp"

#include "savoryreach/entry/answers.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{

job_waiters::job_waiters(job_table& jobs, answer_handler answer)
    : jobs_(jobs), answer_(std::move(answer))
{
}

void job_waiters::add(job& it, const job_waiter& waiter)
{
    if (it.is_ended())
    {
        answer_(waiter, *it.answer);
        return;
    }
    if (waiter.respond_now && it.is_claimed)
    {
        answer_(waiter, running_answer(it.id()));
        return;
    }
    if (waiter.entry.empty())
    {
        callers_[waiter.request_id] = it.id();
    }
    it.waiters.push_back(waiter);
    jobs_.wake_at(it.number, waiter.answer_by);
}

bool job_waiters::has(const job& it, const job_waiter& waiter)
{
    const auto is_same = [&waiter](const job_waiter& known)
    {
        return known.entry == waiter.entry && known.request_id == waiter.request_id;
    };
    return std::ranges::any_of(it.waiters, is_same);
}

void job_waiters::answer(const job_waiter& waiter, const schema::job_answer& answer)
{
    answer_(waiter, answer);
}

void job_waiters::forget_caller(const job_waiter& waiter)
{
    if (waiter.entry.empty())
    {
        callers_.erase(waiter.request_id);
    }
}

std::vector<job_waiter> job_waiters::take_all(job& it)
{
    auto waiters = std::exchange(it.waiters, {});
    for (const auto& waiter : waiters)
    {
        forget_caller(waiter);
    }
    return waiters;
}

void job_waiters::answer_all(job& it, const schema::job_answer& answer)
{
    for (const auto& waiter : take_all(it))
    {
        answer_(waiter, answer);
    }
}

void job_waiters::answer_if(job& it, absl::FunctionRef<bool(const job_waiter&)> is_due)
{
    const auto answer = running_answer(it.id());
    std::vector<job_waiter> due;
    std::erase_if(it.waiters,
                  [&](const job_waiter& waiter)
                  {
                      if (!is_due(waiter))
                      {
                          return false;
                      }
                      due.push_back(waiter);
                      return true;
                  });
    for (const auto& waiter : due)
    {
        forget_caller(waiter);
        answer_(waiter, answer);
    }
}

void job_waiters::answer_state_requests(job& it)
{
    answer_if(it, [](const job_waiter& waiter) { return waiter.respond_now; });
}

void job_waiters::answer_overdue(job& it, absl::Time now)
{
    answer_if(it, [now](const job_waiter& waiter) { return waiter.answer_by <= now; });
}

void job_waiters::remove_caller(std::uint64_t request_id)
{
    const auto known = callers_.find(request_id);
    if (known == callers_.end())
    {
        return;
    }
    if (auto* it = jobs_.find(known->second))
    {
        std::erase_if(it->waiters, [request_id](const job_waiter& waiter)
                      { return waiter.entry.empty() && waiter.request_id == request_id; });
    }
    callers_.erase(known);
}

} // namespace savoryreach::entry
