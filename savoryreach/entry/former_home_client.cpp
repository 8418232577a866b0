#include "savoryreach/entry/former_home_client.hpp"

#include "savoryreach/entry/admission.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{

former_home_client::former_home_client(entry_context& context, const router& routes, hooks handlers)
    : context_(context), routes_(routes), hooks_(std::move(handlers)),
      last_id_(context.ports.random.next() >> 1U)
{
}

bool former_home_client::ask(job_number job, const std::string& submission_id)
{
    const auto homes = routes_.former_homes(submission_id, context_.self, context_.now());
    if (homes.empty() || jobs_.contains(job))
    {
        return !homes.empty();
    }
    for (const auto& home : homes)
    {
        const auto id = ++last_id_;
        auto& it = queries_[id];
        it.job = job;
        it.submission_id = submission_id;
        it.home = home;
        jobs_[job].queries.push_back(id);
        send(id, it);
    }
    return true;
}

void former_home_client::remove(job_number job)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
    {
        return;
    }
    for (const auto id : found->second.queries)
    {
        queries_.erase(id);
    }
    jobs_.erase(found);
}

void former_home_client::clear()
{
    queries_.clear();
    jobs_.clear();
}

void former_home_client::send(std::uint64_t id, query& it)
{
    it.send_at = context_.now() + resend_interval;
    schema::envelope message;
    auto& body = *message.mutable_forward_submit();
    body.set_request_id(id);
    body.mutable_submission()->set_submission_id(it.submission_id);
    body.set_lookup_only(true);
    body.set_takes_over(true);
    context_.send(it.home.name, std::move(message));
}

bool former_home_client::receive(const schema::forward_answer& answer)
{
    const auto found = queries_.find(answer.request_id());
    if (found == queries_.end())
    {
        return false;
    }
    const bool is_refusal = answer.has_answer() &&
                            answer.answer().state() == schema::job_state_failed &&
                            answer.answer().retry_after_ms() > 0;
    if (is_refusal)
    {
        const auto job = found->second.job;
        remove(job);
        hooks_.refused(job, answer.answer());
        return true;
    }
    finish_query(found->first, absl::InfinitePast());
    return true;
}

void former_home_client::finish_query(std::uint64_t id, absl::Time not_before)
{
    const auto job = queries_.at(id).job;
    queries_.erase(id);
    auto& open = jobs_.at(job);
    std::erase(open.queries, id);
    open.not_before = std::max(open.not_before, not_before);
    if (open.queries.empty())
    {
        const auto until = open.not_before;
        jobs_.erase(job);
        hooks_.cleared(job, until);
    }
}

void former_home_client::tick()
{
    const auto now = context_.now();
    std::vector<std::uint64_t> departed;
    for (auto& [id, it] : queries_)
    {
        if (!routes_.is_member(it.home))
        {
            departed.push_back(id);
        }
        else if (it.send_at <= now)
        {
            send(id, it);
        }
    }
    for (const auto id : departed)
    {
        if (queries_.contains(id))
        {
            finish_query(id, now + max_refusal_retry);
        }
    }
}

} // namespace savoryreach::entry
