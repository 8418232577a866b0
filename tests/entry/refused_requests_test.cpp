#include "savoryreach/entry/refused_requests.hpp"

#include <gtest/gtest.h>

namespace savoryreach::entry
{
namespace
{

class refused_requests_test : public testing::Test
{
protected:
    static schema::job_answer answer(schema::not_run_claim claim)
    {
        schema::job_answer out;
        out.set_state(schema::job_state_failed);
        out.set_not_run(claim);
        out.set_retry_after_ms(900);
        return out;
    }

    const base::node_name entry_{"entry-2"};
    const absl::Time now_ = absl::FromUnixSeconds(1000);
    refused_requests requests_;
};

// Guards against a late duplicate of a refused request that runs as a new copy.
TEST_F(refused_requests_test, duplicate_of_refused_request_finds_its_answer)
{
    requests_.remember(entry_, 7, answer(schema::not_run_true), now_);
    EXPECT_TRUE(requests_.find(entry_, 7, now_ + absl::Seconds(9)));
    EXPECT_FALSE(requests_.find(entry_, 8, now_));
    EXPECT_FALSE(requests_.find(base::node_name("entry-3"), 7, now_));
    EXPECT_FALSE(requests_.find(entry_, 7, now_ + refused_requests::longest_delay));
}

// Guards against a repeated refusal that promises its full retry time anew, or that still claims
// "not run" when a new copy may run already.
TEST_F(refused_requests_test, repeated_answer_gives_time_left_then_claims_nothing)
{
    requests_.remember(entry_, 7, answer(schema::not_run_true), now_);
    const auto early = requests_.find(entry_, 7, now_ + absl::Milliseconds(600));
    ASSERT_TRUE(early);
    EXPECT_EQ(early->retry_after_ms(), 300U);
    EXPECT_EQ(early->not_run(), schema::not_run_true);
    const auto late = requests_.find(entry_, 7, now_ + absl::Milliseconds(900));
    ASSERT_TRUE(late);
    EXPECT_EQ(late->not_run(), schema::not_run_unknown);
}

// Guards against a failed answer that claims less being repeated to a copy that could learn more.
TEST_F(refused_requests_test, answer_without_not_run_is_not_remembered)
{
    requests_.remember(entry_, 7, answer(schema::not_run_unknown), now_);
    EXPECT_FALSE(requests_.find(entry_, 7, now_));
}

// Guards against memory that grows with a flood of refusals.
TEST_F(refused_requests_test, flood_forgets_the_oldest_first)
{
    for (std::uint64_t n = 0; n < refused_requests::max_requests + 2; ++n)
    {
        requests_.remember(entry_, n, answer(schema::not_run_true), now_);
    }
    EXPECT_FALSE(requests_.find(entry_, 0, now_));
    EXPECT_TRUE(requests_.find(entry_, refused_requests::max_requests + 1, now_));
}

} // namespace
} // namespace savoryreach::entry
