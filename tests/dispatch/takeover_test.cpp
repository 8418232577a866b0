#include "savoryreach/dispatch/prior_runs.hpp"
#include "tests/dispatch/fleet_world.hpp"

#include <absl/strings/numbers.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

namespace savoryreach::dispatch
{
namespace
{

/// Load of ten endpoints; \p scale 1 uses about 60 % of the cores.
std::vector<job_kind> usual_load(double scale)
{
    return {{"/hold/", 8, 60, 34.0 * scale},
            {"/long/", 4, 900, 6.0 * scale},
            {"/short/", 2, 200, 95.0 * scale}};
}

class records : public ::testing::Test
{
protected:
    records() { runs_.begin(began_at_, {"a", "b"}); }

    /// True if a job that was read \p age before the term is known not to have run.
    [[nodiscard]] bool is_new(absl::Duration age, std::uint64_t job = 7) const
    {
        return runs_.has_never_run(job, runs_.earliest_read_at(age));
    }

    const absl::Time began_at_ = absl::FromUnixSeconds(1000);
    const absl::Duration age_ = absl::Milliseconds(700);
    const absl::Time long_ago_ = began_at_ - absl::Seconds(3);
    prior_runs runs_;
};

TEST_F(records, job_in_no_record_has_never_run)
{
    runs_.on_list("a", long_ago_);
    EXPECT_FALSE(is_new(age_)) << "a host has not listed its runs";
    runs_.add(8);
    runs_.on_list("b", long_ago_);
    EXPECT_TRUE(is_new(age_));
    EXPECT_FALSE(is_new(age_, 8));
}

// Its agent has started again: nobody knows what the former process started.
TEST_F(records, record_that_is_too_short_proves_nothing)
{
    runs_.on_list("a", began_at_ - age_);
    runs_.on_list("b", long_ago_);
    EXPECT_FALSE(is_new(age_));
    EXPECT_TRUE(is_new(age_ - absl::Milliseconds(1)));
    runs_.on_list("a", long_ago_);
    EXPECT_FALSE(is_new(age_)) << "a later list does not bring the record back";
}

TEST_F(records, host_without_a_list_may_have_run_anything)
{
    runs_.on_list("a", long_ago_);
    runs_.on_gone("b");
    EXPECT_TRUE(runs_.are_listed());
    EXPECT_FALSE(is_new(age_));
}

// A host that the earlier dispatcher had given up is asked by nobody.
TEST_F(records, job_older_than_the_loss_of_an_unknown_host_may_have_run)
{
    runs_.on_list("a", long_ago_);
    runs_.on_list("b", long_ago_);
    EXPECT_FALSE(is_new(prior_runs::min_departure_time));
}

// A client repeated its job through another front after its own was lost with the dispatcher, and
// the first run still had a lease on an absent host.
TEST_F(records, job_that_may_be_repeated_waits_for_the_leases_of_absent_hosts)
{
    const auto lost_at = began_at_ - absl::Milliseconds(600);
    runs_.begin(began_at_, {"a", "b"}, lost_at);
    EXPECT_FALSE(runs_.may_be_repeated(began_at_));
    const auto repeated_at = lost_at + absl::Milliseconds(1300);
    EXPECT_TRUE(runs_.may_be_repeated(repeated_at));
    EXPECT_FALSE(runs_.may_be_repeated(lost_at + prior_runs::last_lease_end));
    runs_.on_list("a", long_ago_);
    runs_.on_list("b", long_ago_);
    EXPECT_FALSE(runs_.may_be_repeated(repeated_at)) << "all runs are known";
}

class takeover : public ::testing::Test
{
protected:
    static void expect_no_violations(const fleet_world& world)
    {
        for (const auto& it : world.monitor().violations())
        {
            ADD_FAILURE() << it;
        }
    }
};

// Load pattern: a new dispatcher while some hosts are cut off. It started nothing for 1.75 s, until
// the leases of the absent hosts had expired.
TEST_F(takeover, new_jobs_do_not_wait_for_absent_hosts)
{
    fleet_world world(10, 6);
    world.run(absl::Seconds(3));
    world.load(usual_load(0.4), absl::Seconds(8));
    world.run(absl::Seconds(3));
    world.cut(0, true);
    world.cut(1, true);
    world.change_dispatcher(absl::Milliseconds(700));
    world.run(absl::Seconds(12));
    expect_no_violations(world);
    const auto sent = world.count(6.75, 8.4, std::nullopt);
    EXPECT_GE(world.count(6.75, 8.4, schema::answer_completed, true) * 100, sent * 95);
}

// The requests that a front sent to a dispatcher after its end were repeated to the next one, which
// could not refuse them: they ended with an unknown outcome at their deadlines.
TEST_F(takeover, forwarded_jobs_that_never_ran_are_refused_at_once)
{
    fleet_world world(10, 8);
    world.run(absl::Seconds(3));
    world.load({{"/hold/", 8, 60, 34.0}}, absl::Seconds(8));
    world.run(absl::Seconds(3));
    world.change_dispatcher(absl::Milliseconds(900), absl::Milliseconds(500));
    world.run(absl::Seconds(12));
    expect_no_violations(world);
    const auto led_at = world.began_at() + absl::Milliseconds(6900);
    std::size_t refused = 0;
    for (const auto& [id, it] : world.jobs())
    {
        if (it.sent_at > world.began_at() + absl::Seconds(6) &&
            it.sent_at < world.began_at() + absl::Milliseconds(6300))
        {
            EXPECT_EQ(it.answer, schema::answer_refused);
            EXPECT_LT(it.answered_at, led_at + absl::Milliseconds(200));
            ++refused;
        }
    }
    EXPECT_GT(refused, 3U);
}

// Short fleets with hosts that come and go and dispatchers that follow each other quickly.
TEST_F(takeover, random_cuts_and_changes_break_no_promise)
{
    std::uint64_t seeds = 60;
    if (const char* wanted = std::getenv("SAVORYREACH_TAKEOVER_SEEDS"))
    {
        ASSERT_TRUE(absl::SimpleAtoi(wanted, &seeds));
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        SCOPED_TRACE(seed);
        base::seeded_random random(seed);
        fleet_world world(4, seed, {0.5, 1.0, 1.5});
        world.run(absl::Milliseconds(1600));
        world.load(usual_load(0.25), absl::Seconds(4));
        for (std::size_t n = 0; n < 4; ++n)
        {
            world.endpoint_at(n).settings().late = 0.02;
            world.endpoint_at(n).settings().unanswered = 0.05;
        }
        for (int n = 0; n < 5; ++n)
        {
            world.run(absl::Milliseconds(900) * random.unit());
            world.cut(random.next() % 4, random.unit() < 0.6);
            world.run(absl::Milliseconds(300) * random.unit());
            if (random.unit() < 0.7)
            {
                const auto outage =
                    absl::Milliseconds(500) + absl::Milliseconds(900) * random.unit();
                world.change_dispatcher(outage, outage * random.unit());
                world.run(outage + absl::Milliseconds(1));
            }
        }
        for (std::size_t n = 0; n < 4; ++n)
        {
            world.cut(n, false);
        }
        world.run(absl::Seconds(5));
        expect_no_violations(world);
    }
}

} // namespace
} // namespace savoryreach::dispatch
