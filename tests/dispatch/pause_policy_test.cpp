// What a front holds and refuses while no dispatcher answers.

#include "savoryreach/dispatch/pause_policy.hpp"
#include "savoryreach/dispatch/request_forwarder.hpp"
#include "savoryreach/dispatch/task_id.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace savoryreach::dispatch
{
namespace
{

constexpr double slack_factor = 1.6;
constexpr std::uint32_t target_ms = 60;
constexpr std::uint32_t cpu_milli = 6000;

schema::submit_job submission(std::uint64_t id, std::uint32_t declared_ms, std::uint32_t count)
{
    schema::submit_job out;
    out.set_host("h.example");
    out.set_path(absl::StrCat("/q/", format_job_id(id)));
    out.mutable_spec()->set_id(id);
    auto& step = *out.mutable_spec()->add_steps();
    step.set_count(count);
    step.set_cpu_milli(cpu_milli);
    step.set_estimated_ms(declared_ms);
    return out;
}

class pause : public ::testing::Test
{
protected:
    pause() { policy_.end(now_); }

    [[nodiscard]] held_job job_of(std::uint32_t declared_ms, std::uint32_t count = 1) const
    {
        return held_job_of(submission(1, declared_ms, count), now_, now_ + absl::Seconds(9));
    }
    /// Ends \p n jobs in a second.
    void serve(std::uint32_t declared_ms, std::size_t n)
    {
        schema::front_answer answer;
        answer.set_kind(schema::answer_completed);
        answer.set_slack_factor(slack_factor);
        answer.set_target_ms(target_ms);
        for (std::size_t it = 0; it < n; ++it)
        {
            now_ += absl::Seconds(1) / static_cast<double>(n);
            policy_.on_job_done(job_of(declared_ms), answer, now_);
        }
    }

    absl::Time now_ = absl::FromUnixSeconds(1000);
    pause_policy policy_{now_};
};

TEST_F(pause, job_too_short_to_survive_it_is_refused_at_once)
{
    serve(60, 100);
    policy_.begin(now_);
    EXPECT_FALSE(policy_.is_worth_holding(job_of(60), 0.0, now_));
}

TEST_F(pause, job_that_can_still_end_in_time_is_held)
{
    serve(900, 100);
    policy_.begin(now_);
    EXPECT_TRUE(policy_.is_worth_holding(job_of(900), 0.0, now_));
}

TEST_F(pause, work_beyond_the_room_after_it_is_refused)
{
    serve(900, 100); // 540 core-seconds in a second
    policy_.begin(now_);
    std::size_t held = 0;
    double work = 0.0;
    for (; held < 1000 && policy_.is_worth_holding(job_of(900), work, now_); ++held)
    {
        work += job_of(900).work;
    }
    EXPECT_GT(held, 10U);
    EXPECT_LT(held, 60U);
}

TEST_F(pause, that_lasts_longer_than_usual_is_expected_to_go_on)
{
    policy_.begin(now_);
    const auto began = now_;
    now_ += absl::Seconds(4);
    EXPECT_EQ(policy_.expected_end(now_), began + absl::Seconds(6));
}

TEST_F(pause, expected_length_follows_earlier_pauses)
{
    policy_.begin(now_);
    const auto before = policy_.expected_end(now_) - now_;
    for (int n = 0; n < 10; ++n)
    {
        policy_.begin(now_);
        now_ += absl::Milliseconds(400);
        policy_.end(now_);
    }
    policy_.begin(now_);
    EXPECT_LT(policy_.expected_end(now_) - now_, before * 0.5);
}

TEST_F(pause, refused_clients_return_spread_over_time)
{
    serve(200, 100);
    policy_.begin(now_);
    const auto first = policy_.retry_after(0.0, 0.0, now_);
    const auto last = policy_.retry_after(0.0, 0.99, now_);
    EXPECT_GE(first, policy_.expected_end(now_) - now_);
    EXPECT_GE(last - first, absl::Milliseconds(900));
}

class sent_to_dispatcher final : public request_port
{
public:
    void send_request(const std::string& /*dispatcher*/, schema::front_request it) override
    {
        requests.push_back(std::move(it));
    }

    std::vector<schema::front_request> requests;
};

/// A front that weighs jobs while no dispatcher answers.
class weighing_front : public ::testing::Test
{
protected:
    weighing_front()
    {
        hear();
        // The objectives of the queue are known from the answer to an earlier job.
        add(1, 200);
        schema::front_answer answer;
        answer.set_number(1);
        answer.set_term(1);
        answer.set_kind(schema::answer_completed);
        answer.set_slack_factor(slack_factor);
        answer.set_target_ms(target_ms);
        front_.on_answer(answer);
        answers_.clear();
        port_.requests.clear();
    }

    void hear()
    {
        front_.set_heard_at(clock_.now());
        front_.set_dispatcher(dispatcher_ref{"d", 1});
        front_.tick();
    }
    void add(std::uint64_t id, std::uint32_t declared_ms)
    {
        schema::front_request request;
        *request.mutable_submit() = submission(id, declared_ms, 1);
        front_.add(request, clock_.now() + absl::Seconds(9),
                   [this](const schema::front_answer& it) { answers_.push_back(it); });
    }

    simulation::virtual_clock clock_;
    sent_to_dispatcher port_;
    observe::null_event_sink sink_;
    observe::metrics metrics_;
    request_forwarder front_{clock_, port_, sink_, metrics_, 0, true};
    std::vector<schema::front_answer> answers_;
};

// Requests went to a frozen dispatcher for over a second; none could be refused any more, and they
// ended as "outcome unknown" although nothing had run.
TEST_F(weighing_front, job_is_not_forwarded_to_a_silent_dispatcher)
{
    clock_.advance(request_forwarder::max_silence);
    add(2, 900);
    EXPECT_TRUE(port_.requests.empty());
    EXPECT_TRUE(answers_.empty());
    hear();
    ASSERT_EQ(port_.requests.size(), 1U);
    EXPECT_FALSE(port_.requests[0].may_have_run());
}

TEST_F(weighing_front, job_that_can_not_survive_the_pause_is_refused_without_delay)
{
    clock_.advance(request_forwarder::max_silence);
    add(2, 60);
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].kind(), schema::answer_not_ready);
    EXPECT_GT(answers_[0].retry_after_ms(), 0U);
    EXPECT_TRUE(port_.requests.empty());
}

TEST_F(weighing_front, held_job_is_refused_when_the_pause_outlasts_its_use)
{
    clock_.advance(request_forwarder::max_silence);
    add(2, 900);
    for (int n = 0; n < 60 && answers_.empty(); ++n)
    {
        clock_.advance(absl::Milliseconds(50));
        front_.tick();
    }
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].kind(), schema::answer_not_ready);
    EXPECT_EQ(front_.pending(), 0U);
}

TEST_F(weighing_front, forwarded_job_is_never_refused_by_the_front)
{
    add(2, 60);
    ASSERT_EQ(port_.requests.size(), 1U);
    clock_.advance(absl::Seconds(3));
    front_.tick();
    EXPECT_TRUE(answers_.empty());
}

} // namespace
} // namespace savoryreach::dispatch
