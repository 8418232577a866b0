#include "savoryreach/entry/admission.hpp"

#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/retry_budget.hpp"

#include <gtest/gtest.h>

namespace savoryreach::entry
{
namespace
{

class admission_test : public ::testing::Test
{
protected:
    admission_test()
    {
        load_.max_jobs = 100;
        load_.max_waiting_tasks = 10000;
        load_.usable_slots = 80;
        load_.live_entries = 2;
        load_.share = 0.5;
        load_.expected_run = absl::Milliseconds(100);
        load_.has_spare_capacity = false;
        request_.tasks = 100;
        request_.time_budget = absl::Seconds(10);
    }

    base::error_kind check()
    {
        const auto refused = check_admission(request_, load_, random_);
        return refused ? refused->reason.kind : base::error_kind::none;
    }

    base::seeded_random random_{5};
    admission_load load_;
    admission_request request_;
};

// Guards against a refusal of work that fits and against a wrong kind of refusal.
TEST_F(admission_test, each_bound_gives_its_refusal_kind)
{
    EXPECT_EQ(check(), base::error_kind::none);
    load_.team_slots_in_use = load_.team_slot_limit = 20;
    EXPECT_EQ(check(), base::error_kind::over_quota);
    load_.waiting_tasks = 9901;
    EXPECT_EQ(check(), base::error_kind::queue_full);
    load_.waiting_tasks = 0;
    load_.jobs = 100;
    EXPECT_EQ(check(), base::error_kind::queue_full);
    load_.can_ever_run = false;
    EXPECT_EQ(check(), base::error_kind::never_runnable);
}

// Guards against jobs that are admitted although they cannot end before their deadline, or refused
// although they can.
TEST_F(admission_test, wait_is_estimated_from_share_and_work_ahead)
{
    // 80 slots over 2 entries and a share of one half are 20 slots: 200 tasks/s.
    load_.waiting_ahead = 1890;
    EXPECT_EQ(check(), base::error_kind::none); // 9.45 s + 0.5 s
    load_.waiting_ahead = 1910;
    EXPECT_EQ(check(), base::error_kind::deadline_unreachable);
    load_.has_spare_capacity = true; // all 40 slots: 400 tasks/s
    EXPECT_EQ(check(), base::error_kind::none);
    request_.max_wait = absl::Seconds(4);
    EXPECT_EQ(check(), base::error_kind::deadline_unreachable);
    load_.waiting_ahead = 0;
    load_.usable_slots = 0;
    EXPECT_EQ(check(), base::error_kind::deadline_unreachable);
}

// Guards against refused callers that retry all at once or later than the retry bound.
TEST_F(admission_test, retry_time_is_jittered_and_bounded)
{
    absl::Duration lowest = absl::InfiniteDuration();
    absl::Duration highest;
    for (int i = 0; i < 1000; ++i)
    {
        const refusal it = make_refusal(base::error_kind::queue_full, "full", random_);
        lowest = std::min(lowest, it.retry_after);
        highest = std::max(highest, it.retry_after);
    }
    EXPECT_GT(lowest, absl::ZeroDuration());
    EXPECT_LE(highest, max_refusal_retry);
    EXPECT_GT(highest - lowest, 0.4 * max_refusal_retry);
}

// Guards against a retry storm during an outage and against kinds that share one budget.
TEST(retry_budget_test, retries_are_bounded_by_percent_of_starts)
{
    retry_budget budget;
    budget.set_percent(10);
    const auto consume_all = [&](const std::string& kind)
    {
        int consumed = 0;
        while (consumed < 100000 && budget.try_consume(kind))
        {
            ++consumed;
        }
        return consumed;
    };
    const int burst = consume_all("proof");
    EXPECT_GE(burst, 1);
    EXPECT_LE(burst, 20);
    for (int i = 0; i < 1000; ++i)
    {
        budget.count_start("proof");
    }
    EXPECT_NEAR(consume_all("proof"), 100, 1);
    EXPECT_EQ(consume_all("hold"), burst);
    for (int i = 0; i < 1000000; ++i)
    {
        budget.count_start("proof");
    }
    EXPECT_LE(consume_all("proof"), 1000);
    budget.set_percent(0);
    EXPECT_FALSE(budget.try_consume("return"));
}

} // namespace
} // namespace savoryreach::entry
