#include "savoryreach/entry/former_homes.hpp"

#include "savoryreach/entry/admission.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{

former_homes::former_homes(entry_context& context, const router& routes, hooks call)
    : context_(context), routes_(routes), call_(std::move(call)),
      last_id_(context.ports.random.next() >> 1U)
{
}

bool former_homes::ask(job_number job, const std::string& submission_id)
{
    const auto homes = routes_.former_homes(submission_id, context_.self, context_.now());
    if (homes.empty() || jobs_.contains(job))
    {
        return !homes.empty();
    }
    for (const auto& home : homes)
    {
        const auto id = ++last_id_;
        auto& it = questions_[id];
        it.job = job;
        it.submission_id = submission_id;
        it.home = home;
        jobs_[job].questions.push_back(id);
        send(id, it);
    }
    return true;
}

void former_homes::remove(job_number job)
{
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
    {
        return;
    }
    for (const auto id : found->second.questions)
    {
        questions_.erase(id);
    }
    jobs_.erase(found);
}

void former_homes::clear()
{
    questions_.clear();
    jobs_.clear();
}

void former_homes::send(std::uint64_t id, question& it)
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

bool former_homes::receive(const schema::forward_answer& answer)
{
    const auto found = questions_.find(answer.request_id());
    if (found == questions_.end())
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
        call_.refused(job, answer.answer());
        return true;
    }
    settle(found->first, absl::InfinitePast());
    return true;
}

void former_homes::settle(std::uint64_t id, absl::Time not_before)
{
    const auto job = questions_.at(id).job;
    questions_.erase(id);
    auto& open = jobs_.at(job);
    std::erase(open.questions, id);
    open.not_before = std::max(open.not_before, not_before);
    if (open.questions.empty())
    {
        const auto until = open.not_before;
        jobs_.erase(job);
        call_.cleared(job, until);
    }
}

void former_homes::tick()
{
    const auto now = context_.now();
    std::vector<std::uint64_t> gone;
    for (auto& [id, it] : questions_)
    {
        if (!routes_.is_member(it.home))
        {
            gone.push_back(id);
        }
        else if (it.send_at <= now)
        {
            send(id, it);
        }
    }
    for (const auto id : gone)
    {
        if (questions_.contains(id))
        {
            settle(id, now + max_refusal_retry);
        }
    }
}

} // namespace savoryreach::entry
