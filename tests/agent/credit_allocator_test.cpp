#include "savoryreach/agent/credit_allocator.hpp"
#include "savoryreach/base/seeded_random.hpp"

#include <gtest/gtest.h>

#include <map>

namespace savoryreach::agent
{
namespace
{

class credit_allocator_test : public ::testing::Test
{
protected:
    /// Applies the changed limits; fails if a limit does not increase.
    void rebalance()
    {
        for (const credit_change& change : allocator_.rebalance())
        {
            EXPECT_GT(change.limit, limits_[change.epoch]);
            limits_[change.epoch] = change.limit;
        }
    }

    std::uint64_t unused_credit(std::uint64_t epoch) { return limits_[epoch] - received_[epoch]; }

    void receive_start(std::uint64_t epoch)
    {
        allocator_.start_received(epoch);
        ++received_[epoch];
    }

    static constexpr std::uint32_t slots = 8;
    static constexpr std::uint32_t prefetch = 2;
    credit_allocator allocator_{slots, prefetch};
    std::map<std::uint64_t, std::uint64_t> limits_;
    std::map<std::uint64_t, std::uint64_t> received_;
};

// Guards against an entry that has to request credit before it can start its first task.
TEST_F(credit_allocator_test, idle_session_gets_one_credit)
{
    allocator_.session_opened(1);
    allocator_.session_opened(2);
    rebalance();
    EXPECT_EQ(unused_credit(1), 1u);
    EXPECT_EQ(unused_credit(2), 1u);
    EXPECT_TRUE(allocator_.rebalance().empty());
}

// Guards against slots that stay unused because the minimum credit of idle entries reserves them.
TEST_F(credit_allocator_test, busy_session_gets_all_slots_despite_idle_sessions)
{
    for (std::uint64_t epoch = 1; epoch <= 7; ++epoch)
    {
        allocator_.session_opened(epoch);
    }
    allocator_.set_demand(1, 1000);
    rebalance();
    EXPECT_GE(unused_credit(1), slots + prefetch);
    EXPECT_LE(unused_credit(1), slots + prefetch + 1);
}

// Guards against rounding that leaves slots unassigned or depends on the order of calls.
TEST_F(credit_allocator_test, division_follows_demand_by_largest_remainder)
{
    credit_allocator allocator(12, 0);
    for (const std::uint64_t epoch : {3, 1, 2})
    {
        allocator.session_opened(epoch);
    }
    EXPECT_EQ(allocator.rebalance().size(), 3u); // the minimum of one credit each
    allocator.set_demand(1, 51);
    allocator.set_demand(2, 31);
    allocator.set_demand(3, 21);
    // 12 divided by 50 : 30 : 20 is 6.0 : 3.6 : 2.4, in addition to the minimum of 1 each.
    const std::vector<credit_change> expected{{1, 7}, {2, 5}, {3, 3}};
    EXPECT_EQ(allocator.rebalance(), expected);
}

// Guards against unused credit that is not reassigned after its session has closed.
TEST_F(credit_allocator_test, closed_session_returns_unused_credit)
{
    allocator_.session_opened(1);
    allocator_.set_demand(1, 100);
    rebalance();
    allocator_.session_opened(2);
    allocator_.set_demand(2, 100);
    rebalance();
    EXPECT_EQ(unused_credit(2), 1u);
    allocator_.session_closed(1);
    rebalance();
    EXPECT_GE(unused_credit(2), slots + prefetch);
}

// Guards against over-commitment while tasks of a dead entry are still running.
TEST_F(credit_allocator_test, unfinished_starts_of_closed_session_occupy_slots)
{
    allocator_.session_opened(1);
    allocator_.set_demand(1, 4);
    rebalance();
    for (int i = 0; i < 4; ++i)
    {
        receive_start(1);
    }
    allocator_.session_closed(1);
    allocator_.session_opened(2);
    allocator_.set_demand(2, 100);
    rebalance();
    EXPECT_EQ(unused_credit(2), slots + prefetch - 4 + 1);
    for (int i = 0; i < 4; ++i)
    {
        allocator_.start_ended(1);
    }
    rebalance();
    EXPECT_EQ(unused_credit(2), slots + prefetch + 1);
}

// Guards against new tasks for a draining agent.
TEST_F(credit_allocator_test, draining_allocator_grants_no_credit)
{
    allocator_.set_draining(true);
    allocator_.session_opened(1);
    allocator_.set_demand(1, 100);
    EXPECT_TRUE(allocator_.rebalance().empty());
    allocator_.set_draining(false);
    EXPECT_FALSE(allocator_.rebalance().empty());
}

// Guards, over random sequences of events, against over-commitment beyond the slots, the prefetch
// and the minimum credit, and against an open session with neither unfinished starts nor
// unused credit.
TEST_F(credit_allocator_test, random_events_keep_total_bound_and_minimum_credit)
{
    const std::uint64_t seed = 20261;
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    base::seeded_random random(seed);
    std::map<std::uint64_t, std::uint64_t> unfinished; // starts of the open sessions, by epoch
    std::uint64_t next_epoch = 1;
    for (int step = 0; step < 50000; ++step)
    {
        const std::uint64_t action = random.below(100);
        if (unfinished.empty() || (action < 2 && unfinished.size() < slots))
        {
            allocator_.session_opened(next_epoch);
            unfinished[next_epoch++] = 0;
        }
        auto it = unfinished.begin();
        std::advance(it, random.below(unfinished.size()));
        const std::uint64_t epoch = it->first;
        if (action >= 2 && action < 4)
        {
            allocator_.session_closed(epoch);
            for (; it->second > 0; --it->second)
            {
                allocator_.start_ended(epoch);
            }
            unfinished.erase(it);
        }
        else if (action < 20)
        {
            allocator_.set_demand(epoch, random.below(40));
        }
        else if (action < 60 && unused_credit(epoch) > 0)
        {
            receive_start(epoch);
            ++it->second;
        }
        else if (it->second > 0)
        {
            allocator_.start_ended(epoch);
            --it->second;
        }
        rebalance();
        std::uint64_t total = 0;
        for (const auto& [open_epoch, running] : unfinished)
        {
            total += running + unused_credit(open_epoch);
            ASSERT_GE(running + unused_credit(open_epoch), 1u)
                << "no minimum credit at step " << step;
        }
        ASSERT_LE(total, slots + prefetch + unfinished.size()) << "step " << step;
    }
}

} // namespace
} // namespace savoryreach::agent
