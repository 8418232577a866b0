#include "savoryreach/entry/refused_requests.hpp"

#include "savoryreach/entry/answers.hpp"

namespace savoryreach::entry
{

void refused_requests::remember(const base::node_name& from, std::uint64_t request_id,
                                const schema::job_answer& answer, absl::Time now)
{
    expire(now);
    if (answer.state() != schema::job_state_failed || answer.not_run() != schema::not_run_true)
    {
        return;
    }
    const key id{from, request_id};
    const auto retry_at = now + absl::Milliseconds(answer.retry_after_ms());
    if (answers_.try_emplace(id, refused_answer{answer, retry_at}).second)
    {
        order_.emplace_back(now + max_message_delay, id);
    }
}

std::optional<schema::job_answer> refused_requests::find(const base::node_name& from,
                                                         std::uint64_t request_id, absl::Time now)
{
    expire(now);
    const auto it = answers_.find(key{from, request_id});
    if (it == answers_.end())
    {
        return std::nullopt;
    }
    auto answer = it->second.answer;
    if (now < it->second.retry_at)
    {
        set_retry_after(answer, it->second.retry_at - now);
    }
    else
    {
        answer.set_not_run(schema::not_run_unknown);
    }
    return answer;
}

void refused_requests::expire(absl::Time now)
{
    while (!order_.empty() && (order_.front().first <= now || order_.size() > max_requests))
    {
        answers_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace savoryreach::entry
