#include "tests/dispatch/fleet_world.hpp"

#include <gtest/gtest.h>

namespace savoryreach::dispatch
{
namespace
{

/// Nine endpoints, of which those of the first data centre become cold.
class cold_fleet : public ::testing::Test
{
protected:
    cold_fleet()
    {
        world_.run(absl::Seconds(3));
        // Takes 45 % of the cores while all endpoints are warm.
        world_.load({{"/hold/", 8, 60, 18.0}, {"/long/", 4, 900, 3.2}, {"/short/", 2, 200, 50.0}},
                    absl::Seconds(20));
        world_.run(absl::Seconds(4));
    }
    ~cold_fleet() override
    {
        for (const auto& it : world_.monitor().violations())
        {
            ADD_FAILURE() << it;
        }
    }
    void make_cold(double until_s)
    {
        for (std::size_t n = 0; n < 9; n += fleet_world::data_centres)
        {
            world_.endpoint_at(n).settings().cold_until =
                world_.began_at() + absl::Seconds(until_s);
        }
    }
    /// Share of the jobs sent in [from_s, to_s) that were answered within their objective.
    [[nodiscard]] double share_in_time(double from_s, double to_s) const
    {
        return static_cast<double>(world_.count(from_s, to_s, schema::answer_completed, true)) /
               static_cast<double>(world_.count(from_s, to_s, std::nullopt));
    }

    fleet_world world_{9, 22};
};

// Load pattern: a third of the endpoints is taken back and takes four times as long for a while.
// The runs there lowered their estimates for long afterwards, and long tasks went there first.
TEST_F(cold_fleet, cold_third_gets_little_work_and_its_speed_is_kept)
{
    make_cold(14.0);
    world_.run(absl::Milliseconds(6900));
    EXPECT_LT(world_.active_dispatcher().speed_of("host-3"), 0.5);
    world_.run(absl::Milliseconds(300));
    EXPECT_GT(world_.active_dispatcher().speed_of("host-3"), 0.7);
    world_.run(absl::Seconds(10));
    EXPECT_GE(share_in_time(9.5, 13.0), 0.85);
    EXPECT_GE(share_in_time(15.0, 22.0), 0.95);
}

} // namespace
} // namespace savoryreach::dispatch
