#include "savoryreach/storage/reopen_schedule.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace savoryreach::storage
{
namespace
{

class reopen_schedule_test : public ::testing::Test
{
protected:
    /// Milliseconds after the failure at which an attempt begins; every attempt fails at once.
    std::vector<int> failing_attempts(int until_ms)
    {
        std::vector<int> out;
        for (int at = 0; at <= until_ms; ++at)
        {
            const auto now = failed_at_ + absl::Milliseconds(at);
            if (schedule_.begin_attempt(now))
            {
                out.push_back(at);
                schedule_.on_failure(now);
            }
        }
        return out;
    }

    const absl::Time failed_at_ = absl::FromUnixSeconds(1000);
    reopen_schedule schedule_;
};

TEST_F(reopen_schedule_test, storage_without_failure_has_no_attempt)
{
    EXPECT_FALSE(schedule_.begin_attempt(failed_at_ + absl::Hours(1)));
    EXPECT_EQ(schedule_.failed_since(), std::nullopt);
}

// A disk that takes writes again after seconds must be in use well before the next disk fails.
TEST_F(reopen_schedule_test, pauses_double_up_to_the_longest)
{
    schedule_.on_failure(failed_at_);
    EXPECT_EQ(failing_attempts(4000), (std::vector{100, 300, 700, 1500, 2300, 3100, 3900}));
    EXPECT_EQ(schedule_.failed_since(), failed_at_);
    EXPECT_EQ(schedule_.attempts(), 7U);
}

TEST_F(reopen_schedule_test, attempt_that_runs_is_not_repeated)
{
    schedule_.on_failure(failed_at_);
    EXPECT_TRUE(schedule_.begin_attempt(failed_at_ + absl::Seconds(1)));
    EXPECT_FALSE(schedule_.begin_attempt(failed_at_ + absl::Seconds(100)));
}

TEST_F(reopen_schedule_test, failure_after_a_reopening_begins_with_the_first_pause)
{
    schedule_.on_failure(failed_at_);
    (void)failing_attempts(4000);
    schedule_.on_reopened();
    EXPECT_EQ(schedule_.failed_since(), std::nullopt);
    schedule_.on_failure(failed_at_);
    EXPECT_EQ(failing_attempts(300), (std::vector{100, 300}));
}

} // namespace
} // namespace savoryreach::storage
