#include "savoryreach/entry/recent_demand.hpp"

#include <gtest/gtest.h>

namespace savoryreach::entry
{
namespace
{

class recent_demand_test : public ::testing::Test
{
protected:
    /// A kind that has lately asked for \p slots.
    void ask(const std::string& kind, const std::string& team, double slots)
    {
        demand_.add(kind, team, recent_demand::memory * slots, now_);
    }

    double share(const std::string& kind, const std::string& team) const
    {
        return demand_.share_of(kind, team, 100, now_);
    }

    recent_demand demand_;
    absl::Time now_ = absl::FromUnixSeconds(1'000);
};

// Guards against shares that count a light kind as if it wanted all that is due to it.
TEST_F(recent_demand_test, light_kinds_leave_their_rest_to_the_others)
{
    ask("light", "a", 10);
    ask("heavy", "a", 500);
    EXPECT_NEAR(share("proof", "a"), 0.45, 1e-9);
    EXPECT_NEAR(share("heavy", "a"), 0.9, 1e-9);
}

// Guards against a flood of one team that takes the share of the other teams of its kind.
TEST_F(recent_demand_test, teams_share_their_kind_by_weight)
{
    ask("proof", "flooding", 1000);
    EXPECT_NEAR(share("proof", "quiet"), 0.5, 1e-9);
    demand_.set_team_weight("quiet", 3);
    EXPECT_NEAR(share("proof", "quiet"), 0.75, 1e-9);
}

// Guards against a demand that counts for ever.
TEST_F(recent_demand_test, demand_is_forgotten)
{
    ask("heavy", "a", 500);
    EXPECT_NEAR(share("proof", "a"), 0.5, 1e-9);
    now_ += 20 * recent_demand::memory;
    EXPECT_NEAR(share("proof", "a"), 1, 1e-3);
}

} // namespace
} // namespace savoryreach::entry
