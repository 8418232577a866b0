#include "savoryreach/entry/placement.hpp"

#include "savoryreach/base/seeded_random.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <map>
#include <queue>

namespace savoryreach::entry
{
namespace
{

const std::string kind = "proof";

/// A fleet on virtual time. Each endpoint has slots and an actual run time, and may fail all tasks.
class placement_test : public ::testing::Test
{
protected:
    struct simulated_endpoint
    {
        double run_s = 0.1;
        bool fails = false;
        std::uint32_t slots = 4;
        std::uint32_t free = 4;
        int starts = 0;
    };

    struct attempt
    {
        double ends_at = 0;
        std::string agent;
        std::uint64_t job = 0;
        bool failed = false;
        double run_s = 0;

        bool operator<(const attempt& other) const
        {
            return std::pair(ends_at, agent) > std::pair(other.ends_at, other.agent);
        }
    };

    void join(const std::string& name, double run_s, const std::string& data_centre = "Koper",
              std::vector<std::string> kinds = {})
    {
        fleet_[name] = simulated_endpoint{run_s};
        placement_.endpoint_joined({base::node_name(name), data_centre, 4, std::move(kinds)});
        placement_.set_credit(base::node_name(name), 4);
    }

    void join_fleet(int n, double run_s)
    {
        for (int i = 0; i < n; ++i)
        {
            join(absl::StrCat("worker-", i), run_s);
        }
    }

    [[nodiscard]] absl::Time at(double seconds) const
    {
        return absl::UnixEpoch() + absl::Seconds(seconds);
    }

    /// Starts one task and returns its endpoint, empty when the placement waits. \p job_fails makes
    /// the task fail on every endpoint.
    std::string start(std::uint64_t job, std::uint32_t waiting = 100, bool job_fails = false,
                      const std::string& locality = "", absl::Duration declared = {})
    {
        const auto agent = placement_.choose({kind, declared, locality, waiting, {}}, at(now_));
        if (!agent)
        {
            return {};
        }
        simulated_endpoint& m = fleet_.at(agent->value());
        EXPECT_GT(m.free, 0u);
        --m.free;
        ++m.starts;
        const bool failed = job_fails || m.fails;
        // Failures are fast; they must not count as short run times.
        const double run = failed ? 0.001 : m.run_s * (0.8 + 0.4 * random_.unit());
        in_flight_.push({now_ + run, agent->value(), job, failed, run});
        return agent->value();
    }

    /// Ends the attempt that ends first.
    void end_one()
    {
        ASSERT_FALSE(in_flight_.empty());
        const attempt it = in_flight_.top();
        in_flight_.pop();
        now_ = it.ends_at;
        simulated_endpoint& m = fleet_.at(it.agent);
        const base::node_name agent(it.agent);
        placement_.attempt_ended(agent, kind, it.job,
                                 it.failed ? attempt_result::failed : attempt_result::succeeded,
                                 absl::Seconds(it.run_s), at(now_));
        placement_.set_credit(agent, ++m.free);
    }

    /// Runs \p n tasks of jobs of \p tasks_per_job tasks with at most \p parallel in flight.
    void run(int n, int tasks_per_job, std::size_t parallel)
    {
        for (int i = 0; i < n; ++i)
        {
            while (in_flight_.size() >= parallel || start(next_job_).empty())
            {
                end_one();
            }
            if (++job_tasks_ >= tasks_per_job)
            {
                ++next_job_;
                job_tasks_ = 0;
            }
        }
    }

    void end_all()
    {
        while (!in_flight_.empty())
        {
            end_one();
        }
    }

    [[nodiscard]] bool is_set_aside(const std::string& name) const
    {
        return placement_.is_set_aside(base::node_name(name));
    }

    [[nodiscard]] int count_set_aside() const
    {
        int n = 0;
        for (const auto& [name, unused] : fleet_)
        {
            n += is_set_aside(name) ? 1 : 0;
        }
        return n;
    }

    static constexpr std::uint64_t seed = 977;
    placement placement_;
    base::seeded_random random_{seed};
    std::map<std::string, simulated_endpoint> fleet_;
    std::priority_queue<attempt> in_flight_;
    std::uint64_t next_job_ = 1;
    int job_tasks_ = 0;
    double now_ = 0;
};

// Guards against an endpoint that gets more work because its tasks fail quickly, for tasks of many
// small jobs and of a single large one, and against an endpoint that is never readmitted.
TEST_F(placement_test, failing_endpoint_is_set_aside_within_10_starts_and_readmitted)
{
    for (const int tasks_per_job : {1, 10, 970})
    {
        SCOPED_TRACE(::testing::Message() << tasks_per_job << " tasks per job, seed " << seed);
        fleet_.clear();
        const std::string bad = absl::StrCat("worker-", tasks_per_job);
        join_fleet(10, 0.1);
        join(bad, 0.1);
        run(500, tasks_per_job, 20);
        fleet_[bad].fails = true;
        fleet_[bad].starts = 0;
        for (int i = 0; i < 3000 && !is_set_aside(bad); ++i)
        {
            run(1, tasks_per_job, 20);
        }
        EXPECT_TRUE(is_set_aside(bad));
        EXPECT_LE(fleet_[bad].starts, 10);
        const int before = fleet_[bad].starts;
        run(10000, tasks_per_job, 20); // about 50 s
        EXPECT_TRUE(is_set_aside(bad));
        EXPECT_GE(fleet_[bad].starts - before, 2) << "no probes";
        EXPECT_LE(fleet_[bad].starts - before, 8) << "no backoff";
        fleet_[bad].fails = false;
        run(14000, tasks_per_job, 20); // about 70 s, more than the longest backoff
        EXPECT_FALSE(is_set_aside(bad));
        end_all();
        placement_.endpoint_left(base::node_name(bad));
    }
}

// Guards against a failing job that causes healthy endpoints to be set aside or avoided.
TEST_F(placement_test, failing_job_sets_no_endpoint_aside)
{
    join_fleet(10, 0.1);
    run(200, 10, 20);
    for (int round = 0; round < 300; ++round)
    {
        // A job that always fails, among healthy jobs.
        for (int i = 0; i < 3; ++i)
        {
            while (start(1000000, 100, true).empty())
            {
                end_one();
            }
        }
        run(3, 10, 20);
        ASSERT_EQ(count_set_aside(), 0) << "round " << round;
    }
    end_all();
    // Several such jobs in sequence; each fails on 3 endpoints and is not retried further.
    for (std::uint64_t job = 2000000; job < 2000050; ++job)
    {
        for (int i = 0; i < 3; ++i)
        {
            ASSERT_FALSE(start(job, 100, true).empty());
            end_one();
        }
        ASSERT_EQ(count_set_aside(), 0) << "job " << job;
    }
}

// Guards against healthy endpoints that are set aside by chance while many jobs fail on all
// endpoints.
TEST_F(placement_test, many_failing_jobs_of_one_task_set_no_endpoint_aside)
{
    join_fleet(10, 0.1);
    run(200, 10, 20);
    for (std::uint64_t job = 3000000; job < 3003000; ++job)
    {
        while (start(job, 100, random_.below(4) == 0).empty())
        {
            end_one();
        }
        if (in_flight_.size() > 20)
        {
            end_one();
        }
        ASSERT_EQ(count_set_aside(), 0) << "job " << job;
    }
}

// Guards against a system-wide fault that sets the whole fleet aside.
TEST_F(placement_test, at_most_30_percent_are_set_aside)
{
    join_fleet(10, 0.1);
    for (auto& [name, m] : fleet_)
    {
        m.fails = true;
    }
    for (int i = 0; i < 2000; ++i)
    {
        run(1, 1, 20);
        ASSERT_LE(count_set_aside(), 3);
    }
    EXPECT_GT(placement_.usable_slots(kind), 0u);
    EXPECT_TRUE(placement_.is_runnable(kind));
    placement_.endpoint_left(base::node_name("worker-0"));
    fleet_.erase("worker-0");
    EXPECT_LE(count_set_aside(), 2);
}

class declared_time_test : public placement_test, public ::testing::WithParamInterface<double>
{
};

// Guards against estimates that stay at a declared time that is off by 10x.
TEST_P(declared_time_test, estimate_with_wrong_declared_time_converges)
{
    const double declared = GetParam();
    join_fleet(4, 0.1);
    EXPECT_EQ(placement_.expected_run(kind, absl::Seconds(declared)), absl::Seconds(declared));
    for (int i = 0; i < 40; ++i)
    {
        while (start(1, 100, false, "", absl::Seconds(declared)).empty())
        {
            end_one();
        }
    }
    end_all();
    const absl::Duration learned = placement_.expected_run(kind, absl::Seconds(declared));
    EXPECT_NEAR(absl::ToDoubleSeconds(learned), 0.1, 0.02);
}

INSTANTIATE_TEST_SUITE_P(declared_seconds, declared_time_test, ::testing::Values(0.01, 1.0));

// Guards against starts on slow endpoints while fast ones have credit, and against estimates that
// do not follow an endpoint that changes its speed.
TEST_F(placement_test, fast_endpoints_are_preferred_and_speed_changes_are_followed)
{
    join_fleet(3, 0.1);
    join("slow", 1.0);
    run(300, 10, 10);
    EXPECT_NEAR(absl::ToDoubleSeconds(placement_.expected_run_at(base::node_name("slow"), kind)),
                1.0, 0.2);
    fleet_["slow"].starts = 0;
    run(300, 10, 10);
    EXPECT_LE(fleet_["slow"].starts, 5);
    for (const std::string name : {"worker-0", "worker-1"})
    {
        fleet_[name].run_s = 1.5;
    }
    fleet_["slow"].run_s = 0.05;
    run(6000, 10, 12);
    fleet_["slow"].starts = 0;
    run(300, 10, 4);
    EXPECT_GE(fleet_["slow"].starts, 200) << "an endpoint that became fast is not found again";
}

// Guards against a straggler at the end of a job, and against a task that waits for ever.
TEST_F(placement_test, last_tasks_wait_for_fast_endpoint)
{
    join("fast", 0.1);
    join("slow", 2.0);
    run(60, 10, 8);
    end_all();
    for (int i = 0; i < 4; ++i)
    {
        EXPECT_EQ(start(500, 1), "fast");
    }
    EXPECT_EQ(start(501, 1), "") << "the last task of a job started on a far slower endpoint";
    EXPECT_EQ(start(502, 970), "slow") << "a job with many tasks left slots unused";
    end_all();
    placement_.set_credit(base::node_name("fast"), 0);
    EXPECT_EQ(start(503, 1), "slow") << "nothing runs at the fast endpoint, so nothing frees it";
}

// Guards against placement by name of the data centre instead of the measured delay.
TEST_F(placement_test, delay_decides_between_equal_endpoints)
{
    placement_.set_one_way_delay("Koper", absl::Milliseconds(1));
    placement_.set_one_way_delay("Maribor", absl::Milliseconds(40));
    join("near", 0.1);
    join("far", 0.1, "Maribor");
    run(1, 1, 8);
    end_all();
    EXPECT_EQ(start(1), "near");
    EXPECT_EQ(start(1, 100, false, "Maribor"), "far");
}

// Guards against a new entry that ignores the run times that the agents have already counted.
TEST_F(placement_test, counters_of_agents_give_estimates)
{
    join("fast", 0.1);
    join("slow", 1.0);
    placement_.update_counters(base::node_name("fast"), kind, 50, 3, absl::Seconds(5));
    placement_.update_counters(base::node_name("slow"), kind, 50, 0, absl::Seconds(50));
    EXPECT_EQ(start(1, 1), "fast");
    // A restarted agent counts from zero.
    placement_.update_counters(base::node_name("slow"), kind, 10, 0, absl::Seconds(10));
    EXPECT_NEAR(absl::ToDoubleSeconds(placement_.expected_run_at(base::node_name("slow"), kind)),
                1.0, 0.01);
}

// Guards against wrong results of the kind queries for known, unknown and restricted kinds.
TEST_F(placement_test, kinds_of_endpoints_are_respected)
{
    EXPECT_FALSE(placement_.can_ever_run(kind));
    join("holds", 0.1, "Koper", {"hold"});
    EXPECT_FALSE(placement_.can_ever_run(kind));
    EXPECT_EQ(start(1), "");
    join("all", 0.1);
    EXPECT_TRUE(placement_.can_ever_run("never seen"));
    EXPECT_TRUE(placement_.is_runnable("never seen"));
    EXPECT_EQ(placement_.usable_slots(kind), 4u);
    EXPECT_EQ(placement_.usable_slots("hold"), 8u);
    placement_.set_credit(base::node_name("all"), 0);
    EXPECT_FALSE(placement_.is_runnable(kind));
    EXPECT_TRUE(placement_.is_runnable("hold"));
    EXPECT_TRUE(placement_.can_ever_run(kind));
    placement_.endpoint_left(base::node_name("all"));
    EXPECT_FALSE(placement_.can_ever_run(kind));
    EXPECT_EQ(placement_.usable_slots("hold"), 4u);
}

} // namespace
} // namespace savoryreach::entry
