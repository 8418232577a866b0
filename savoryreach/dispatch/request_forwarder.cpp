#include "savoryreach/dispatch/request_forwarder.hpp"

#include "savoryreach/dispatch/task_id.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

/// A request without an answer is passed on again after this time, in case a message was lost with
/// a link. The dispatcher answers a job when it ends, which most do within this time.
constexpr absl::Duration resend_after = absl::Milliseconds(900);
/// A client that was refused for want of a dispatcher is asked to return after this time.
constexpr std::uint32_t no_dispatcher_retry_ms = 1000;

} // namespace

request_forwarder::request_forwarder(const base::clock& clock, request_port& port,
                                     observe::event_sink& events, observe::metrics& measures,
                                     std::uint64_t first_number)
    : clock_(clock), port_(port), events_(events), measures_(measures), last_number_(first_number),
      lost_at_(clock.now())
{
}

std::uint64_t request_forwarder::add(schema::front_request request, absl::Time answer_by,
                                     answer_handler on_answer)
{
    const auto number = ++last_number_;
    const auto now = clock_.now();
    request.set_number(number);
    auto& it = requests_[number];
    it.request = std::move(request);
    it.read_at = now;
    it.answer_by = answer_by;
    it.handler = std::move(on_answer);
    if (dispatcher_)
    {
        pass_on(it);
    }
    else if (now >= lost_at_ + waits_for_dispatcher)
    {
        refuse(number);
    }
    return number;
}

void request_forwarder::refuse(std::uint64_t number)
{
    const auto& request = requests_.at(number).request;
    constexpr const char* why = "no dispatcher";
    if (request.has_submit())
    {
        events_.record("job_refused", {{"submission", format_job_id(request.submit().spec().id())},
                                       {"reason", why},
                                       {"retry_ms", absl::StrCat(no_dispatcher_retry_ms)}});
    }
    schema::front_answer answer;
    answer.set_kind(schema::answer_not_ready);
    answer.set_retry_after_ms(no_dispatcher_retry_ms);
    answer.set_reason(why);
    finish(number, answer);
}

void request_forwarder::pass_on(open_request& it)
{
    const auto now = clock_.now();
    auto request = it.request;
    request.set_may_have_run(it.term != 0);
    it.term = dispatcher_->term;
    it.resend_at = now + resend_after;
    request.set_term(dispatcher_->term);
    if (request.has_submit())
    {
        auto& submit = *request.mutable_submit();
        submit.set_age_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - it.read_at)));
        submit.set_remaining_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            absl::ToInt64Milliseconds(it.answer_by - now), 0, UINT32_MAX)));
    }
    port_.send_request(dispatcher_->name, std::move(request));
}

void request_forwarder::abandon(std::uint64_t number)
{
    const auto it = requests_.find(number);
    if (it == requests_.end())
    {
        return;
    }
    if (it->second.term != 0 && dispatcher_)
    {
        schema::front_request request;
        request.set_number(number);
        request.set_term(dispatcher_->term);
        request.set_abandoned(true);
        port_.send_request(dispatcher_->name, std::move(request));
    }
    requests_.erase(it);
}

void request_forwarder::on_answer(const schema::front_answer& answer)
{
    const auto it = requests_.find(answer.number());
    if (it == requests_.end())
    {
        return;
    }
    // What an earlier dispatcher refused the present one may have started.
    const bool refused =
        answer.kind() == schema::answer_refused || answer.kind() == schema::answer_not_ready;
    if (refused && it->second.request.has_submit() && answer.term() != it->second.term)
    {
        events_.record("refusal_outdated",
                       {{"submission", format_job_id(it->second.request.submit().spec().id())},
                        {"term", absl::StrCat(answer.term())},
                        {"passed_on_in", absl::StrCat(it->second.term)}});
        return;
    }
    finish(answer.number(), answer);
}

void request_forwarder::finish(std::uint64_t number, const schema::front_answer& answer)
{
    const auto it = requests_.find(number);
    if (it == requests_.end())
    {
        return;
    }
    note_answer(it->second, answer.kind());
    auto handler = std::move(it->second.handler);
    requests_.erase(it);
    handler(answer);
}

void request_forwarder::note_answer(const open_request& it, schema::answer_kind kind)
{
    if (it.request.has_submit())
    {
        measures_
            .histogram_of("savoryreach_request_seconds",
                          "from reading a job to its answer, by the kind of answer",
                          {{"answer", schema::answer_kind_Name(kind)}})
            .observe(absl::ToDoubleSeconds(clock_.now() - it.read_at));
    }
}

void request_forwarder::set_dispatcher(const std::optional<dispatcher_ref>& who)
{
    if (who == dispatcher_)
    {
        return;
    }
    if (dispatcher_ && !who)
    {
        lost_at_ = clock_.now();
    }
    dispatcher_ = who;
    events_.record("dispatcher_known", {{"peer", who ? who->name : ""},
                                        {"term", absl::StrCat(who ? who->term : 0)},
                                        {"pending", absl::StrCat(requests_.size())}});
    if (dispatcher_)
    {
        for (auto& [number, it] : requests_)
        {
            pass_on(it);
        }
    }
}

void request_forwarder::tick()
{
    const auto now = clock_.now();
    std::vector<std::pair<std::uint64_t, bool>> over;
    for (auto& [number, it] : requests_)
    {
        const bool refused = !dispatcher_ && it.term == 0 && now >= lost_at_ + waits_for_dispatcher;
        if (now >= it.answer_by || refused)
        {
            over.emplace_back(number, it.term != 0);
        }
        else if (dispatcher_ && now >= it.resend_at)
        {
            pass_on(it);
        }
    }
    for (const auto& [number, passed_on] : over)
    {
        if (!passed_on)
        {
            refuse(number);
            continue;
        }
        // Nobody waits for the job any more.
        const auto& it = requests_.at(number);
        note_answer(it, schema::answer_unknown);
        events_.record(
            "request_unanswered",
            {{"submission", it.request.has_submit() ? format_job_id(it.request.submit().spec().id())
                                                    : std::string()},
             {"ms", absl::StrCat(absl::ToInt64Milliseconds(now - it.read_at))}});
        const auto handler = std::move(requests_.at(number).handler);
        abandon(number);
        schema::front_answer answer;
        answer.set_kind(schema::answer_unknown);
        answer.set_reason("no answer in time");
        handler(answer);
    }
}

} // namespace savoryreach::dispatch
