#include "savoryreach/daemon/answer_waiters.hpp"

#include "savoryreach/base/system_clock.hpp"

namespace savoryreach::daemon
{

std::uint64_t answer_waiters::open()
{
    const std::lock_guard lock(mutex_);
    const auto request_id = ++last_request_;
    waiters_.emplace(request_id, std::make_shared<waiter>());
    return request_id;
}

std::optional<schema::job_answer> answer_waiters::wait(std::uint64_t request_id,
                                                       absl::Time deadline)
{
    std::unique_lock lock(mutex_);
    const auto it = waiters_.find(request_id);
    if (it == waiters_.end())
    {
        return std::nullopt;
    }
    const auto request = it->second;
    request->ready.wait_for(lock, absl::ToChronoNanoseconds(deadline - base::steady_now()),
                            [&] { return request->answer.has_value(); });
    waiters_.erase(request_id);
    return std::move(request->answer);
}

void answer_waiters::answer(std::uint64_t request_id, const schema::job_answer& answer)
{
    const std::lock_guard lock(mutex_);
    const auto it = waiters_.find(request_id);
    if (it != waiters_.end())
    {
        it->second->answer = answer;
        it->second->ready.notify_one();
    }
}

} // namespace savoryreach::daemon
