#include "tests/simulation/simulated_callers.hpp"

#include "savoryreach/base/error.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace savoryreach::simulation
{
namespace
{

constexpr absl::Duration max_pause = absl::Milliseconds(300);
constexpr absl::Duration min_patience = absl::Milliseconds(800);
constexpr absl::Duration max_patience = absl::Seconds(8);
/// Between a closed connection and the resent copy.
constexpr absl::Duration reconnect_time = absl::Milliseconds(5);
constexpr absl::Duration poll_interval = absl::Milliseconds(150);
constexpr std::uint32_t max_refusals = 10;
constexpr std::array kinds{"proof", "preview", "hold"};

constexpr double conflicting_content_rate = 0.03;
constexpr double extra_copy_rate = 0.1;
constexpr double cancel_rate = 0.04;
constexpr double lookup_rate = 0.03;
constexpr double lost_answer_rate = 0.03;
constexpr double late_copy_rate = 0.2;
constexpr double no_wait_rate = 0.1;
constexpr double early_retry_rate = 0.15;
constexpr double keep_connection_rate = 0.2;

} // namespace

simulated_callers::simulated_callers(simulated_cluster& cluster) : cluster_(cluster)
{
    cluster_.on_answer(
        [this](const std::string& entry, std::uint64_t request_id, const schema::job_answer& answer)
        { answered(entry, request_id, answer); });
}

void simulated_callers::set_submitting(bool is_submitting)
{
    is_submitting_ = is_submitting;
    schedule_submission();
}

void simulated_callers::schedule_submission()
{
    if (!is_submitting_ || is_scheduled_)
    {
        return;
    }
    is_scheduled_ = true;
    cluster_.timers().after(max_pause * cluster_.random().unit(),
                            [this]
                            {
                                is_scheduled_ = false;
                                if (is_submitting_)
                                {
                                    submit_new();
                                    schedule_submission();
                                }
                            });
}

schema::submission simulated_callers::draw_submission(const std::string& id, std::uint32_t variant)
{
    auto& random = cluster_.random();
    schema::submission submission;
    submission.set_schema_version(chance(0.5) ? 1 : 2);
    submission.set_submission_id(id);
    submission.set_team(absl::StrCat("team", random.below(3)));
    submission.set_kind(kinds[random.below(kinds.size())]);
    submission.set_urgency(static_cast<std::uint32_t>(random.below(10)));
    submission.set_idempotent(chance(0.5));
    submission.set_time_budget_ms(static_cast<std::uint32_t>(2'000 + random.below(18'000)));
    const auto tasks = static_cast<std::uint32_t>(1 + random.below(chance(0.05) ? 60 : 12));
    for (std::uint32_t n = 0; n < tasks; ++n)
    {
        auto& task = *submission.add_tasks();
        task.set_payload(task_content{id, variant, n}.payload());
        task.set_declared_run_ms(static_cast<std::uint32_t>(random.below(300)));
    }
    return submission;
}

void simulated_callers::add(const schema::submission& submission, std::uint32_t variant)
{
    const order_key key{submission.submission_id(), variant};
    orders_[key] = order{submission, variant, false, 0, 0};
    waiting_[key] = true;
    cluster_.checker().knows(submission, variant);
}

void simulated_callers::submit_new()
{
    auto& random = cluster_.random();
    const auto id = absl::StrCat("s", ++submissions_);
    const order_key key{id, 0};
    add(draw_submission(id, 0), 0);
    send(key, false);
    if (chance(extra_copy_rate))
    {
        send_later(key, absl::Milliseconds(random.below(500)), true);
    }
    if (chance(conflicting_content_rate))
    {
        add(draw_submission(id, 1), 1);
        send_later({id, 1}, absl::Milliseconds(random.below(8'000)), false);
    }
    if (chance(cancel_rate))
    {
        cluster_.timers().after(absl::Milliseconds(random.below(2'000)),
                                [this, key] { ask_about(key, ask::cancel); });
    }
    if (chance(lookup_rate))
    {
        cluster_.timers().after(absl::Milliseconds(random.below(5'000)),
                                [this, key] { ask_about(key, ask::lookup); });
    }
}

std::string simulated_callers::draw_entry()
{
    std::vector<std::string> alive;
    for (const auto& name : cluster_.entries())
    {
        if (cluster_.is_alive(name))
        {
            alive.push_back(name);
        }
    }
    return alive.empty() ? "" : alive[cluster_.random().below(alive.size())];
}

void simulated_callers::send_later(const order_key& key, absl::Duration delay, bool is_extra)
{
    const auto attempt = orders_.at(key).attempt;
    cluster_.timers().after(delay,
                            [this, key, is_extra, attempt]
                            {
                                // Another request of the caller has been sent meanwhile.
                                if (is_extra || orders_.at(key).attempt == attempt)
                                {
                                    send(key, is_extra);
                                }
                            });
}

void simulated_callers::send(const order_key& key, bool is_extra)
{
    const auto entry = draw_entry();
    if (entry.empty())
    {
        send_later(key, absl::Milliseconds(50), is_extra);
        return;
    }
    auto& it = orders_.at(key);
    it.attempt += is_extra ? 0 : 1;
    const auto patience = min_patience + (max_patience - min_patience) * cluster_.random().unit();
    const bool wait = is_extra || !chance(no_wait_rate);
    const auto id = ++last_request_;
    const auto answer_by = cluster_.clock().now() + patience;
    requests_[id] = {{id, ask::submit, key.first, key.second, entry, wait, answer_by}, is_extra};
    cluster_.checker().asked(requests_.at(id).request);
    cluster_.timers().after(patience + absl::Milliseconds(100), [this, id] { lose_patience(id); });
    cluster_.entry(entry)->submit(id, it.submission, wait, answer_by);
}

void simulated_callers::ask_about(const order_key& key, ask kind)
{
    const auto entry = draw_entry();
    if (entry.empty())
    {
        return;
    }
    const auto id = ++last_request_;
    requests_[id] = {{id, kind, key.first, key.second, entry, true, absl::InfiniteFuture()}, true};
    cluster_.checker().asked(requests_.at(id).request);
    if (kind == ask::cancel)
    {
        cluster_.entry(entry)->cancel(id, key.first);
    }
    else
    {
        cluster_.entry(entry)->lookup(id, key.first);
    }
}

void simulated_callers::lose_patience(std::uint64_t request_id)
{
    const auto it = requests_.find(request_id);
    if (it == requests_.end())
    {
        return;
    }
    const auto asked = it->second;
    if (!chance(keep_connection_rate))
    {
        cluster_.checker().withdrawn(request_id);
        requests_.erase(it);
        if (auto* entry = cluster_.entry(asked.request.entry))
        {
            entry->caller_disconnected(request_id);
        }
    }
    resend(asked);
}

void simulated_callers::resend(const pending& lost)
{
    const order_key key{lost.request.submission_id, lost.request.variant};
    if (lost.request.kind == ask::submit && !lost.is_extra && !orders_.at(key).is_done)
    {
        send_later(key, reconnect_time, false);
    }
}

void simulated_callers::entry_lost(const std::string& entry)
{
    std::vector<pending> lost;
    for (const auto& [id, it] : requests_)
    {
        if (it.request.entry == entry)
        {
            lost.push_back(it);
        }
    }
    for (const auto& it : lost)
    {
        requests_.erase(it.request.id);
        cluster_.checker().withdrawn(it.request.id);
        resend(it);
    }
}

schema::job_answer simulated_callers::break_answer(const pending& asked, schema::job_answer answer)
{
    const bool is_complete = answer.state() == schema::job_state_complete;
    if (cluster_.broken() == breakage::dropped_output && is_complete)
    {
        answer.mutable_outputs()->RemoveLast();
    }
    if (cluster_.broken() == breakage::swapped_answer && is_complete)
    {
        answer.set_submission_id("s1");
    }
    if (cluster_.broken() == breakage::false_not_run && answer.state() == schema::job_state_failed)
    {
        answer.set_not_run(schema::not_run_true);
    }
    if (cluster_.broken() == breakage::unheard_refusal &&
        answer.state() == schema::job_state_running)
    {
        answer.set_state(schema::job_state_failed);
        answer.set_error_kind(static_cast<std::uint32_t>(base::error_kind::queue_full));
        answer.set_not_run(schema::not_run_true);
        answer.set_retry_after_ms(1'000'000);
    }
    if (cluster_.broken() == breakage::contradiction && is_complete && asked.is_extra)
    {
        answer.clear_outputs();
        answer.set_state(schema::job_state_failed);
        answer.set_error_kind(static_cast<std::uint32_t>(base::error_kind::task_failed));
        answer.set_not_run(schema::not_run_false);
    }
    return answer;
}

void simulated_callers::answered(const std::string& entry, std::uint64_t request_id,
                                 schema::job_answer answer)
{
    const auto it = requests_.find(request_id);
    const bool is_withheld =
        cluster_.broken() == breakage::lost_answer && answer.submission_id().ends_with("7");
    if (is_withheld)
    {
        return;
    }
    if (it != requests_.end())
    {
        answer = break_answer(it->second, std::move(answer));
    }
    cluster_.checker().answered(request_id, answer);
    if (it == requests_.end() || it->second.request.entry != entry)
    {
        return;
    }
    const auto asked = it->second;
    requests_.erase(it);
    // The entry must not be called from within its answer.
    cluster_.timers().after(absl::ZeroDuration(),
                            [this, asked, answer = std::move(answer)]
                            {
                                if (chance(lost_answer_rate))
                                {
                                    resend(asked);
                                    return;
                                }
                                react(asked, answer);
                            });
}

void simulated_callers::react(const pending& asked, const schema::job_answer& answer)
{
    const order_key key{asked.request.submission_id, asked.request.variant};
    if (asked.request.kind != ask::submit || orders_.at(key).is_done)
    {
        return;
    }
    switch (answer.state())
    {
    case schema::job_state_complete:
        finish(key);
        break;
    case schema::job_state_running:
        if (!asked.is_extra)
        {
            send_later(key, poll_interval, false);
        }
        break;
    default:
        if (!asked.is_extra)
        {
            react_to_failure(key, answer);
        }
        break;
    }
}

void simulated_callers::react_to_failure(const order_key& key, const schema::job_answer& answer)
{
    auto& it = orders_.at(key);
    const auto& row = base::traits_of(base::error_kind_from(answer.error_kind()));
    const bool is_refusal = answer.not_run() == schema::not_run_true;
    if (!row.retryable || (is_refusal && ++it.refusals >= max_refusals))
    {
        finish(key);
        return;
    }
    const auto retry_after = absl::Milliseconds(answer.retry_after_ms());
    const bool is_early = chance(early_retry_rate);
    send_later(key, is_early ? reconnect_time : std::max(retry_after, absl::Milliseconds(20)),
               false);
}

void simulated_callers::finish(const order_key& key)
{
    orders_.at(key).is_done = true;
    waiting_.erase(key);
    if (chance(late_copy_rate))
    {
        send_later(key, absl::Milliseconds(cluster_.random().below(40'000)), true);
    }
}

std::vector<std::string> simulated_callers::unanswered() const
{
    std::vector<std::string> ids;
    for (const auto& [key, is_waiting] : waiting_)
    {
        ids.push_back(absl::StrCat(key.first, "/", key.second));
    }
    return ids;
}

} // namespace savoryreach::simulation
