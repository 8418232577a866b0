#include "savoryreach/entry/recent_demand.hpp"

#include <gtest/gtest.h>

namespace savoryreach::entry
{
namespace
{

class recent_demand_test : public ::testing::Test
{
protected:
    /// Adds a demand of \p slots.
    void add_demand(const std::string& kind, const std::string& team, double slots)
    {
        demand_.add(kind, team, recent_demand::averaging_time * slots, now_);
    }

    double share(const std::string& kind, const std::string& team) const
    {
        return demand_.share_of(kind, team, 100, now_);
    }

    recent_demand demand_;
    absl::Time now_ = absl::FromUnixSeconds(1'000);
};

// Guards against a share that counts a light kind as if it used its whole fair share.
TEST_F(recent_demand_test, unused_share_of_light_kind_goes_to_the_others)
{
    add_demand("light", "a", 10);
    add_demand("heavy", "a", 500);
    EXPECT_NEAR(share("proof", "a"), 0.45, 1e-9);
    EXPECT_NEAR(share("heavy", "a"), 0.9, 1e-9);
}

// Guards against a flood of one team that reduces the share of the other teams of its kind.
TEST_F(recent_demand_test, teams_share_their_kind_by_weight)
{
    add_demand("proof", "flooding", 1000);
    EXPECT_NEAR(share("proof", "quiet"), 0.5, 1e-9);
    demand_.set_team_weight("quiet", 3);
    EXPECT_NEAR(share("proof", "quiet"), 0.75, 1e-9);
}

// Guards against demand that never decays.
TEST_F(recent_demand_test, demand_decays)
{
    add_demand("heavy", "a", 500);
    EXPECT_NEAR(share("proof", "a"), 0.5, 1e-9);
    now_ += 20 * recent_demand::averaging_time;
    EXPECT_NEAR(share("proof", "a"), 1, 1e-3);
}

} // namespace
} // namespace savoryreach::entry
