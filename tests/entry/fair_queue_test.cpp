#include "savoryreach/entry/fair_queue.hpp"

#include "tests/entry/slot_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace savoryreach::entry
{
namespace
{

constexpr std::uint64_t seed = 4117;

schema::kind_policy kind_policy(const std::string& kind, std::uint32_t weight,
                                std::uint32_t urgency_bound_ms = 0)
{
    schema::kind_policy policy;
    policy.set_kind(kind);
    policy.set_weight(weight);
    policy.set_urgency_bound_ms(urgency_bound_ms);
    return policy;
}

schema::team_quota team_quota(const std::string& team, std::uint32_t weight)
{
    schema::team_quota quota;
    quota.set_team(team);
    quota.set_weight(weight);
    return quota;
}

class fair_queue_test : public ::testing::Test
{
protected:
    void add(std::uint64_t number, const std::string& kind, const std::string& team,
             std::uint32_t urgency, std::uint32_t tasks, int deadline_s = 60)
    {
        queue_.add({job_number{number}, kind, team, urgency, tasks,
                    absl::UnixEpoch() + absl::Seconds(deadline_s)});
    }

    /// Number of the next job, or 0 when there is none; \p blocked is a kind without credit.
    std::uint64_t next(const std::string& blocked = "")
    {
        const auto job = queue_.next([&](const std::string& kind) { return kind != blocked; },
                                     [](const std::string&) { return absl::Milliseconds(100); });
        return job ? static_cast<std::uint64_t>(*job) : 0;
    }

    fair_queue queue_;
};

// Guards against shares that depend on run times, on wrong estimates (off by 10x both ways) or on
// the number of jobs instead of the weights.
TEST_F(fair_queue_test, shares_under_saturation_follow_weights_within_5_percent)
{
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    slot_simulation simulation({{"preview", "a", 9, 10, 0.05, 400},
                                {"proof", "a", 0, 970, 1.0, 1},
                                {"proof", "b", 0, 10, 1.0, 20},
                                {"hold", "a", 5, 100, 0.3, 20}},
                               100, seed);
    simulation.queue().apply(kind_policy("preview", 1, 200));
    simulation.queue().apply(kind_policy("proof", 4, 200));
    simulation.queue().apply(kind_policy("hold", 5, 200));
    simulation.queue().apply(team_quota("b", 3));
    simulation.set_estimate("preview", 0.5);
    simulation.set_estimate("hold", 0.03);
    simulation.run_until(20);
    simulation.reset();
    simulation.run_until(120);
    const std::vector<double> expected{0.1, 0.1, 0.3, 0.5};
    double total = 0;
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        total += simulation.used_slot_s(i);
    }
    EXPECT_GE(total, 100 * 100 * 0.95);
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        EXPECT_NEAR(simulation.used_slot_s(i) / total / expected[i], 1, 0.05) << "stream " << i;
    }
}

class flood_test : public ::testing::TestWithParam<std::uint32_t>
{
};

// Guards against a flood that takes the slots of other kinds and of other teams of its kind.
TEST_P(flood_test, other_work_keeps_95_percent_of_its_throughput)
{
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    const auto measure = [](double factor)
    {
        // Offered load on 100 slots: 30 % proof and 15 % preview, beside 10 % of the flooding team.
        slot_simulation simulation({{"proof", "a", 4, 97, 0.5, 0.62},
                                    {"preview", "a", 4, 30, 0.1, 5},
                                    {"preview", "flood", GetParam(), 10, 0.1, 10 * factor}},
                                   100, seed);
        simulation.queue().apply(kind_policy("proof", 1, 200));
        simulation.queue().apply(kind_policy("preview", 1, 200));
        simulation.run_until(20);
        simulation.reset();
        simulation.run_until(220);
        return std::pair(simulation.ended_tasks(0), simulation.ended_tasks(1));
    };
    const auto [proofs, previews] = measure(1);
    const auto [flooded_proofs, flooded_previews] = measure(10);
    RecordProperty("proofs_percent", static_cast<int>(100 * flooded_proofs / proofs));
    RecordProperty("previews_percent", static_cast<int>(100 * flooded_previews / previews));
    EXPECT_GE(flooded_proofs, 0.95 * proofs);
    EXPECT_GE(flooded_previews, 0.95 * previews);
}

INSTANTIATE_TEST_SUITE_P(urgency, flood_test, ::testing::Values(0, 9));

// Guards against slots that stay idle, and against a share that, after its unused slots were lent,
// gets them back late or gets more than its part.
TEST_F(fair_queue_test, idle_share_is_lent_and_returns_within_one_task)
{
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    slot_simulation simulation(
        {{"preview", "a", 0, 100, 0.2, 10}, {"proof", "b", 0, 970, 0.2, 10, 50}}, 100, seed);
    simulation.run_until(10);
    simulation.reset();
    simulation.run_until(50);
    EXPECT_GE(simulation.used_slot_s(0), 0.98 * 40 * 100);
    // The longest task takes 0.3 s; from then on each has one half.
    simulation.run_until(50.4);
    simulation.reset();
    simulation.run_until(60.4);
    EXPECT_NEAR(simulation.used_slot_s(0), 500, 50);
    EXPECT_NEAR(simulation.used_slot_s(1), 500, 50);
}

// Guards against strict priority across shares: urgency advances a kind by at most its bound.
TEST_F(fair_queue_test, urgent_kind_is_ahead_by_at_most_its_bound)
{
    queue_.apply(kind_policy("preview", 1, 1000));
    queue_.apply(kind_policy("proof", 1, 1000));
    add(1, "preview", "a", 9, 1000);
    add(2, "proof", "b", 0, 1000);
    int urgent = 0;
    int other = 0;
    int ahead = 0;
    for (int i = 0; i < 400; ++i)
    {
        ++(next() == 1 ? urgent : other);
        ahead = std::max(ahead, urgent - other);
    }
    // 1 s is 10 tasks; the tolerance of 1 is the granularity of a decision.
    EXPECT_GE(ahead, 9);
    EXPECT_LE(ahead, 11);
}

// Guards against a share that monopolises the slots after an outage of its endpoints.
TEST_F(fair_queue_test, kind_without_credit_accumulates_bounded_lag)
{
    add(1, "preview", "a", 0, 2000);
    add(2, "proof", "b", 0, 2000);
    for (int i = 0; i < 1000; ++i)
    {
        ASSERT_EQ(next("proof"), 1u);
    }
    int proofs_in_a_row = 0;
    while (next() == 2)
    {
        ++proofs_in_a_row;
    }
    EXPECT_LE(proofs_in_a_row, 12);
}

// Guards against a wrong order of the jobs within a team.
TEST_F(fair_queue_test, jobs_of_a_team_start_by_urgency_then_deadline)
{
    add(1, "proof", "a", 3, 1, 10);
    add(2, "proof", "a", 3, 1, 5);
    add(3, "proof", "a", 9, 2, 50);
    std::vector<std::uint64_t> order(5);
    for (std::uint64_t& it : order)
    {
        it = next();
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 3, 2, 1, 0}));
}

// Guards against a team that exceeds its slot limit by using several kinds, and against a team that
// stays blocked after its slots are released.
TEST_F(fair_queue_test, team_slot_limit_holds_over_kinds_until_slot_is_released)
{
    queue_.set_team_slot_limit("a", 2);
    add(1, "proof", "a", 0, 5);
    add(2, "hold", "a", 0, 5);
    EXPECT_NE(next(), 0u);
    EXPECT_NE(next(), 0u);
    EXPECT_EQ(next(), 0u);
    EXPECT_EQ(queue_.waiting_tasks(), 8u);
    queue_.release_slot("proof", "a", absl::Milliseconds(100), absl::Milliseconds(100));
    EXPECT_NE(next(), 0u);
    EXPECT_EQ(next(), 0u);
    queue_.set_team_slot_limit("a", 0);
    EXPECT_NE(next(), 0u);
}

// Guards against a wrong estimate of the capacity for a new job.
TEST_F(fair_queue_test, share_counts_kinds_and_teams_with_waiting_tasks)
{
    queue_.apply(kind_policy("proof", 3));
    EXPECT_DOUBLE_EQ(queue_.share_of("proof", "a"), 1);
    add(1, "preview", "b", 0, 5);
    EXPECT_DOUBLE_EQ(queue_.share_of("proof", "a"), 0.75);
    add(2, "proof", "c", 0, 5);
    EXPECT_DOUBLE_EQ(queue_.share_of("proof", "a"), 0.375);
    queue_.remove(job_number{2});
    EXPECT_DOUBLE_EQ(queue_.share_of("proof", "a"), 0.75);
}

// Guards against lost or duplicated tasks in random sequences of all operations.
TEST_F(fair_queue_test, random_operations_keep_every_task)
{
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    base::seeded_random random(seed);
    std::map<std::uint64_t, std::pair<std::string, std::uint32_t>> waiting; // by job
    const std::vector<std::string> kinds{"hold", "preview", "proof"};
    const absl::Duration estimate = absl::Milliseconds(100);
    for (std::uint64_t step = 1; step <= 30000; ++step)
    {
        const std::uint64_t action = random.below(10);
        auto any = waiting.empty() ? waiting.end()
                                   : std::next(waiting.begin(), random.below(waiting.size()));
        if (any == waiting.end() || (action < 2 && waiting.size() < 200))
        {
            const std::string& kind = kinds[random.below(3)];
            const auto tasks = static_cast<std::uint32_t>(random.below(20));
            add(step, kind, std::to_string(random.below(7)), random.below(10), tasks);
            waiting[step] = {kind, tasks};
        }
        else if (action == 2)
        {
            queue_.remove(job_number{any->first});
            waiting.erase(any);
        }
        else if (action == 3)
        {
            queue_.requeue(job_number{any->first}, 3);
            any->second.second += 3;
        }
        else if (action == 4)
        {
            queue_.release_slot(any->second.first, std::to_string(random.below(7)), estimate,
                                estimate * random.unit() * 20);
        }
        else
        {
            const std::uint64_t job = next();
            const auto total = queue_.waiting_tasks();
            ASSERT_EQ(job == 0, total == 0 && job == 0) << "step " << step;
            if (job != 0)
            {
                ASSERT_GT(waiting.at(job).second--, 0u) << "step " << step;
            }
        }
        const auto total =
            std::accumulate(waiting.begin(), waiting.end(), std::size_t{0},
                            [](std::size_t sum, const auto& it) { return sum + it.second.second; });
        ASSERT_EQ(queue_.waiting_tasks(), total) << "step " << step;
    }
}

} // namespace
} // namespace savoryreach::entry
