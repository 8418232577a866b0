#include "savoryreach/dispatch/admission.hpp"
#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/job_board.hpp"
#include "savoryreach/dispatch/offered_load.hpp"
#include "savoryreach/dispatch/placement.hpp"
#include "savoryreach/dispatch/speed_model.hpp"

#include <gtest/gtest.h>

namespace savoryreach::dispatch
{
namespace
{

const absl::Time now = absl::FromUnixSeconds(1000);

class speeds : public ::testing::Test
{
protected:
    void learn(const std::string& host, absl::Duration actual, int times)
    {
        for (int n = 0; n < times; ++n)
        {
            model_.learn(host, "q", absl::Milliseconds(100), actual);
        }
    }

    speed_model model_;
};

TEST_F(speeds, endpoints_of_uneven_speed_are_told_apart)
{
    for (int n = 0; n < 20; ++n)
    {
        learn("slow", absl::Milliseconds(170), 1);
        learn("fast", absl::Milliseconds(60), 1);
    }
    EXPECT_GT(model_.speed("fast"), 2.0 * model_.speed("slow"));
    EXPECT_NEAR(absl::ToDoubleMilliseconds(model_.expected("slow", "q", absl::Milliseconds(100))),
                170.0, 25.0);
}

// Found on pohl scale-2: one overdue run pulled the speed of its endpoint down to a twentieth.
TEST_F(speeds, one_sign_of_slowness_changes_little)
{
    learn("h", absl::Milliseconds(100), 20);
    model_.learn_slowness("h", "q", absl::Milliseconds(100), absl::Milliseconds(1000));
    EXPECT_GT(model_.speed("h"), 0.4);
}

TEST_F(speeds, lasting_slowness_is_learned_within_a_second)
{
    learn("h", absl::Milliseconds(100), 20);
    for (int n = 0; n < 20; ++n)
    {
        model_.learn_slowness("h", "q", absl::Milliseconds(100), absl::Milliseconds(600));
    }
    EXPECT_LT(model_.speed("h"), 0.2);
}

class offered : public ::testing::Test
{
protected:
    /// Offers \p rate core-seconds a second for \p length in jobs of one core-second.
    void offer(const std::string& queue, double rate, absl::Time from, absl::Duration length)
    {
        for (auto at = from; at < from + length; at += absl::Seconds(1.0 / rate))
        {
            load_.note(queue, 1.0, at);
        }
    }

    offered_load load_;
};

// Load pattern: one queue floods at four times its usual load. The other keeps all of its own.
TEST_F(offered, flooding_queue_gets_what_the_others_leave)
{
    offer("calm", 100, now, absl::Seconds(12));
    offer("flood", 100, now, absl::Seconds(10));
    offer("flood", 400, now + absl::Seconds(10), absl::Seconds(2));
    const auto at = now + absl::Seconds(12);
    EXPECT_DOUBLE_EQ(load_.share("calm", 300, at), 1.0);
    EXPECT_NEAR(load_.share("flood", 300, at), 0.5, 0.05);
}

// Load pattern: all queues at twice the capacity. Each keeps half.
TEST_F(offered, flood_of_all_queues_is_shared_in_proportion)
{
    offer("a", 100, now, absl::Seconds(10));
    offer("b", 200, now, absl::Seconds(10));
    offer("a", 200, now + absl::Seconds(10), absl::Seconds(2));
    offer("b", 400, now + absl::Seconds(10), absl::Seconds(2));
    const auto at = now + absl::Seconds(12);
    EXPECT_NEAR(load_.share("a", 300, at), 0.5, 0.05);
    EXPECT_NEAR(load_.share("b", 300, at), 0.5, 0.05);
}

TEST_F(offered, taken_jobs_make_up_the_share)
{
    load_.note("a", 1.0, now);
    int taken = 0;
    for (int n = 0; n < 100; ++n)
    {
        taken += load_.take("a", 0.3) ? 1 : 0;
    }
    EXPECT_NEAR(taken, 30, 1);
}

class health : public ::testing::Test
{
protected:
    standing standing_;
};

TEST_F(health, single_failure_changes_nothing)
{
    standing_.on_failure(now);
    EXPECT_GT(standing_.allowed_runs(now), 1U);
}

TEST_F(health, failures_in_a_row_set_aside_and_probe_later)
{
    for (int n = 0; n < 4; ++n)
    {
        standing_.on_failure(now);
    }
    EXPECT_EQ(standing_.allowed_runs(now), 0U);
    EXPECT_EQ(standing_.allowed_runs(now + absl::Seconds(1)), 1U);
}

TEST_F(health, probe_that_succeeds_brings_back)
{
    standing_.on_refusal(now);
    standing_.on_success();
    EXPECT_GT(standing_.allowed_runs(now + absl::Seconds(1)), 1U);
}

class admission : public ::testing::Test
{
protected:
    admission()
    {
        inputs_.rate = 800.0;
        inputs_.chain = absl::Milliseconds(200);
        inputs_.objective = absl::Milliseconds(380);
    }

    admission_inputs inputs_;
};

TEST_F(admission, nothing_ahead_is_accepted)
{
    EXPECT_TRUE(decide_admission(inputs_, now).accepted);
}

TEST_F(admission, wait_beyond_the_objective_is_refused_with_a_time_to_return)
{
    inputs_.work_ahead = inputs_.work_waiting = 800.0;
    const auto verdict = decide_admission(inputs_, now);
    EXPECT_FALSE(verdict.accepted);
    EXPECT_GT(verdict.retry_at, now);
    EXPECT_LE(verdict.retry_at, now + absl::Seconds(5));
}

TEST_F(admission, work_that_goes_behind_does_not_count)
{
    inputs_.work_waiting = 800.0;
    EXPECT_TRUE(decide_admission(inputs_, now).accepted);
}

TEST_F(admission, no_usable_endpoint_is_refused)
{
    inputs_.rate = 0.0;
    EXPECT_FALSE(decide_admission(inputs_, now).accepted);
}

class places : public ::testing::Test
{
protected:
    places()
    {
        owner_.queue.set_name("q");
        owner_.queue.set_service("svc");
        owner_.objective_at = now + absl::Milliseconds(400);
        step_.takes = {6200, 64, 0};
        step_.declared = absl::Milliseconds(200);
        add("slow", absl::Milliseconds(400));
        add("fast", absl::Milliseconds(130));
    }

    void add(const std::string& host, absl::Duration actual)
    {
        auto& it = table_.get(host);
        it.peer = host;
        it.listed = it.registered = true;
        it.service = "svc";
        it.capacity = {64000, 1000, 0};
        for (int n = 0; n < 10; ++n)
        {
            speeds_.learn(host, "q", absl::Milliseconds(200), actual);
        }
    }
    placement choose() { return choose_endpoint(table_, speeds_, owner_, step_, task_, 0, now); }

    endpoint_table table_;
    speed_model speeds_;
    job owner_;
    step step_;
    task task_;
};

TEST_F(places, faster_endpoint_is_chosen)
{
    ASSERT_NE(choose().place, nullptr);
    EXPECT_EQ(choose().place->host, "fast");
}

TEST_F(places, task_that_can_still_meet_its_objective_waits_for_a_fast_endpoint)
{
    table_.get("fast").used.cpu_milli = 60000;
    owner_.objective_at = now + absl::Milliseconds(300);
    const auto chosen = choose();
    EXPECT_EQ(chosen.place, nullptr);
    EXPECT_FALSE(chosen.room_missing);
}

TEST_F(places, late_task_takes_any_endpoint)
{
    table_.get("fast").used.cpu_milli = 60000;
    owner_.objective_at = now;
    ASSERT_NE(choose().place, nullptr);
    EXPECT_EQ(choose().place->host, "slow");
}

TEST_F(places, draining_silent_and_avoided_endpoints_are_left_out)
{
    table_.get("fast").draining = true;
    owner_.objective_at = now;
    EXPECT_EQ(choose().place->host, "slow");
    table_.get("slow").silent = true;
    EXPECT_EQ(choose().place, nullptr);
    table_.get("slow").silent = false;
    task_.avoided.push_back("slow");
    EXPECT_TRUE(choose().room_missing);
}

TEST_F(places, step_with_a_limit_per_endpoint_spreads)
{
    step_.spec.set_max_per_endpoint(1);
    table_.get("fast").add({owner_.id, 0, 1}, run{});
    owner_.objective_at = now;
    EXPECT_EQ(choose().place->host, "slow");
}

class board : public ::testing::Test
{
protected:
    job& add(std::uint64_t id, absl::Duration objective)
    {
        job it;
        it.id = id;
        it.objective_at = now + objective;
        step of;
        of.takes = {1000, 1, 0};
        of.declared = absl::Seconds(1);
        of.tasks.resize(2);
        of.open = 2;
        it.steps.push_back(of);
        auto& added = board_.add(it);
        board_.add_waiting(added, added.steps[0], 2);
        return added;
    }

    job_board board_;
};

TEST_F(board, earlier_objective_goes_first)
{
    add(1, absl::Seconds(2));
    add(2, absl::Seconds(1));
    EXPECT_EQ(board_.waiting_order(), (std::vector<std::uint64_t>{2, 1}));
    EXPECT_DOUBLE_EQ(board_.work_ahead(now + absl::Seconds(1)), 2.0);
    EXPECT_DOUBLE_EQ(board_.work_waiting(), 4.0);
}

TEST_F(board, removed_job_leaves_no_work)
{
    add(1, absl::Seconds(2));
    board_.remove(1);
    EXPECT_EQ(board_.work_waiting(), 0.0);
    EXPECT_TRUE(board_.waiting_order().empty());
}

} // namespace
} // namespace savoryreach::dispatch
