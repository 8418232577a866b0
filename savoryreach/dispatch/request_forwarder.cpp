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

/// A request without an answer is forwarded again after this time, in case a message was lost with
/// a link. The dispatcher answers a job when it ends, which is within this time for most jobs.
constexpr absl::Duration resend_interval = absl::Milliseconds(900);
/// Retry time for a client whose request is refused because no dispatcher is known.
constexpr std::uint32_t no_dispatcher_retry_ms = 1000;

constexpr const char* no_dispatcher = "no dispatcher";

/// True for the answers to a job that say that nothing of it has run.
bool denies_run(schema::answer_kind kind)
{
    return kind == schema::answer_refused || kind == schema::answer_not_ready ||
           kind == schema::answer_no_queue || kind == schema::answer_invalid;
}

} // namespace

request_forwarder::request_forwarder(const base::clock& clock, request_port& port,
                                     observe::event_sink& events, observe::metrics& metrics,
                                     std::uint64_t first_number, bool weighs_jobs)
    : clock_(clock), port_(port), events_(events), metrics_(metrics), last_number_(first_number),
      weighs_jobs_(weighs_jobs), dispatcher_lost_at_(clock.now()), pause_(clock.now())
{
}

bool request_forwarder::is_answering() const
{
    return dispatcher_ && (!weighs_jobs_ || clock_.now() < heard_at_ + max_silence);
}

bool request_forwarder::is_weighed(const open_request& it) const
{
    return weighs_jobs_ && it.term == 0 && it.request.has_submit();
}

double request_forwarder::held_work() const
{
    double out = 0.0;
    for (const auto& [number, it] : requests_)
    {
        out += it.term == 0 ? it.job.work : 0.0;
    }
    return out;
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
    it.answer_by = std::min(answer_by, ends_at_);
    it.handler = std::move(on_answer);
    if (it.request.has_submit())
    {
        it.job = held_job_of(it.request.submit(), now, answer_by);
    }
    update_pause();
    if (now + it.job.chain >= ends_at_)
    {
        refuse(number, "would end after this process");
    }
    else if (is_answering() || (dispatcher_ && !is_weighed(it)))
    {
        forward(it);
    }
    else if (is_weighed(it))
    {
        if (!pause_.is_worth_holding(it.job, held_work() - it.job.work, now))
        {
            refuse(number, "would end too late after the change of the dispatcher");
        }
    }
    else if (now >= dispatcher_lost_at_ + max_dispatcher_wait)
    {
        refuse(number, no_dispatcher);
    }
    return number;
}

void request_forwarder::update_pause()
{
    const auto now = clock_.now();
    if (!weighs_jobs_ || is_answering() != pause_.is_paused())
    {
        return;
    }
    if (!is_answering())
    {
        pause_.begin(dispatcher_ ? heard_at_ : dispatcher_lost_at_);
        events_.record("dispatcher_silent",
                       {{"peer", dispatcher_ ? dispatcher_->name : ""},
                        {"expected_ms",
                         absl::StrCat(absl::ToInt64Milliseconds(pause_.expected_end(now) - now))}});
        return;
    }
    pause_.end(now);
    events_.record("dispatcher_answers",
                   {{"peer", dispatcher_->name}, {"held_core_s", absl::StrCat(held_work())}});
    for (auto& [number, it] : requests_)
    {
        if (it.term == 0)
        {
            forward(it);
        }
    }
}

void request_forwarder::refuse(std::uint64_t number, const std::string& reason)
{
    const auto& it = requests_.at(number);
    auto retry_ms = no_dispatcher_retry_ms;
    if (is_weighed(it) && ends_at_ == absl::InfiniteFuture())
    {
        // Job ids are random, so that they spread the clients evenly.
        constexpr std::uint64_t steps = 1024;
        const double spread = static_cast<double>(it.request.submit().spec().id() % steps) / steps;
        retry_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(
            pause_.retry_after(held_work() - it.job.work, spread, clock_.now())));
        ++metrics_.counter_of("savoryreach_pause_refusals_total",
                              "jobs refused while no dispatcher answers");
    }
    if (it.request.has_submit())
    {
        events_.record("job_refused",
                       {{"submission", format_job_id(it.request.submit().spec().id())},
                        {"reason", reason},
                        {"retry_ms", absl::StrCat(retry_ms)}});
    }
    schema::front_answer answer;
    answer.set_kind(schema::answer_not_ready);
    answer.set_retry_after_ms(retry_ms);
    answer.set_reason(reason);
    finish(number, answer);
}

void request_forwarder::forward(open_request& it, std::int64_t confirmed_stamp_us)
{
    const auto now = clock_.now();
    auto request = it.request;
    const auto remaining_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(it.answer_by - now), 0, UINT32_MAX));
    request.set_may_have_run(it.term != 0);
    it.term = dispatcher_->term;
    it.resend_at = now + resend_interval;
    request.set_term(dispatcher_->term);
    if (request.has_submit())
    {
        auto& submit = *request.mutable_submit();
        submit.set_age_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(now - it.read_at)));
        submit.set_remaining_ms(remaining_ms);
    }
    if (request.has_evacuation())
    {
        request.set_remaining_ms(remaining_ms);
        request.set_confirmed_stamp_us(confirmed_stamp_us);
    }
    port_.send_request(dispatcher_->name, std::move(request));
}

void request_forwarder::confirm(open_request& it, const schema::front_answer& question)
{
    // A question of an earlier dispatcher is void: the current one has a copy and asks by itself.
    if (dispatcher_ && question.term() == dispatcher_->term && it.term == dispatcher_->term)
    {
        forward(it, question.stamp_us());
    }
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
    if (answer.kind() == schema::answer_confirm)
    {
        confirm(it->second, answer);
        return;
    }
    // A refusal by an earlier dispatcher is outdated: the current one may have started the job.
    if (denies_run(answer.kind()) && it->second.request.has_submit() &&
        answer.term() != it->second.term)
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
    record_answer(it->second, answer.kind());
    if (answer.kind() == schema::answer_completed && it->second.request.has_submit())
    {
        pause_.on_job_done(it->second.job, answer, clock_.now());
    }
    auto handler = std::move(it->second.handler);
    requests_.erase(it);
    handler(answer);
}

void request_forwarder::record_answer(const open_request& it, schema::answer_kind kind)
{
    if (it.request.has_submit())
    {
        metrics_
            .histogram_of("savoryreach_request_seconds",
                          "from reading a job to its answer, by the kind of answer",
                          {{"answer", schema::answer_kind_Name(kind)}})
            .observe(absl::ToDoubleSeconds(clock_.now() - it.read_at));
    }
}

void request_forwarder::set_dispatcher(const std::optional<dispatcher_ref>& current)
{
    if (current == dispatcher_)
    {
        return;
    }
    if (dispatcher_ && !current)
    {
        dispatcher_lost_at_ = clock_.now();
    }
    dispatcher_ = current;
    events_.record("dispatcher_known", {{"peer", current ? current->name : ""},
                                        {"term", absl::StrCat(current ? current->term : 0)},
                                        {"pending", absl::StrCat(requests_.size())}});
    if (dispatcher_)
    {
        for (auto& [number, it] : requests_)
        {
            forward(it);
        }
    }
    update_pause();
}

void request_forwarder::end_by(absl::Time at)
{
    ends_at_ = at;
    for (auto& [number, it] : requests_)
    {
        it.answer_by = std::min(it.answer_by, at);
    }
}

void request_forwarder::tick()
{
    update_pause();
    const auto now = clock_.now();
    const auto expected_end = pause_.expected_end(now);
    std::vector<std::pair<std::uint64_t, bool>> expired;
    for (auto& [number, it] : requests_)
    {
        const bool refused =
            is_weighed(it)
                ? !is_answering() && expected_end > pause_.needed_by(it.job)
                : !dispatcher_ && it.term == 0 && now >= dispatcher_lost_at_ + max_dispatcher_wait;
        if (now >= it.answer_by || refused)
        {
            expired.emplace_back(number, it.term != 0);
        }
        else if (dispatcher_ && now >= it.resend_at && (is_answering() || !is_weighed(it)))
        {
            forward(it);
        }
    }
    for (const auto& [number, forwarded] : expired)
    {
        if (!forwarded)
        {
            refuse(number, no_dispatcher);
            continue;
        }
        const auto& it = requests_.at(number);
        record_answer(it, schema::answer_unknown);
        events_.record(
            "request_unanswered",
            {{"submission", it.request.has_submit() ? format_job_id(it.request.submit().spec().id())
                                                    : std::string()},
             {"ms", absl::StrCat(absl::ToInt64Milliseconds(now - it.read_at))}});
        const bool ends = now >= ends_at_;
        const auto handler = std::move(requests_.at(number).handler);
        if (ends)
        {
            requests_.erase(number);
        }
        else
        {
            abandon(number); // the dispatcher may still work on it
        }
        schema::front_answer answer;
        answer.set_kind(schema::answer_unknown);
        answer.set_reason(ends ? "this process ends" : "no answer in time");
        handler(answer);
    }
}

} // namespace savoryreach::dispatch
