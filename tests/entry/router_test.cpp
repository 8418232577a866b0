#include "savoryreach/entry/router.hpp"

#include <gtest/gtest.h>

#include <string>

namespace savoryreach::entry
{
namespace
{

class router_test : public testing::Test
{
protected:
    static route_member member(const std::string& name, std::uint64_t epoch)
    {
        return {base::node_name(name), epoch};
    }

    router routes;
    absl::Time now = absl::FromUnixSeconds(1000);
};

// Guards against homes that depend on the order of the members in a view, and against moving
// submissions other than those of the entry that left.
TEST_F(router_test, member_that_leaves_moves_only_its_own_submissions)
{
    routes.restart({member("e1", 1), member("e2", 2), member("e3", 3)}, false, now);
    router other;
    other.restart({member("e3", 3), member("e1", 1), member("e2", 2)}, false, now);
    router after;
    after.restart({member("e1", 1), member("e2", 2)}, false, now);
    int moved = 0;
    for (int n = 0; n < 300; ++n)
    {
        const auto id = "s" + std::to_string(n);
        EXPECT_EQ(routes.home_of(id), other.home_of(id));
        if (routes.home_of(id)->name == base::node_name("e3"))
        {
            ++moved;
            continue;
        }
        EXPECT_EQ(routes.home_of(id), after.home_of(id));
    }
    EXPECT_GT(moved, 60);
    EXPECT_LT(moved, 140);
}

// Guards against submissions with a new home that are not held, or are held too long.
TEST_F(router_test, moved_submission_is_held_for_the_longest_refusal_retry)
{
    routes.restart({member("e1", 1)}, false, now);
    EXPECT_EQ(routes.hold_until("s", now), absl::InfinitePast());
    EXPECT_FALSE(routes.had_other_home("s", now));
    routes.update({member("e1", 2)}, now);
    EXPECT_EQ(routes.hold_until("s", now), now + absl::Seconds(1));
    now += absl::Seconds(1);
    EXPECT_EQ(routes.hold_until("s", now), absl::InfinitePast());
    EXPECT_TRUE(routes.had_other_home("s", now));
    EXPECT_FALSE(routes.had_other_home("s", now + router::view_retention));
}

// Guards against relying on a former home whose view was dropped after many membership changes.
TEST_F(router_test, dropped_views_leave_any_home_possible)
{
    routes.restart({member("e1", 1)}, false, now);
    for (std::uint64_t n = 0; n <= router::max_past_views; ++n)
    {
        routes.update({member("e1", 1), member("x" + std::to_string(n), n + 2)}, now);
    }
    int moved = 0;
    for (int n = 0; n < 100; ++n)
    {
        moved += routes.had_other_home("s" + std::to_string(n), now) ? 1 : 0;
    }
    EXPECT_EQ(moved, 100);
}

} // namespace
} // namespace savoryreach::entry
