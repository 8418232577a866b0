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

// Guards against running a late duplicate of a refused request as a new copy.
TEST_F(refused_requests_test, duplicate_of_refused_request_finds_its_answer)
{
    requests_.remember(entry_, 7, answer(schema::not_run_true), now_);
    EXPECT_TRUE(requests_.find(entry_, 7, now_ + absl::Seconds(9)));
    EXPECT_FALSE(requests_.find(entry_, 8, now_));
    EXPECT_FALSE(requests_.find(base::node_name("entry-3"), 7, now_));
    EXPECT_FALSE(requests_.find(entry_, 7, now_ + refused_requests::max_message_delay));
}

// Guards against a repeated refusal that contains the full retry time again, or that still claims
// "not run" after a new copy may have started.
TEST_F(refused_requests_test, repeated_answer_gives_remaining_time_then_claims_unknown)
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

// Guards against repeating a failed answer without the claim "not run" to a copy that could get a
// more precise answer.
TEST_F(refused_requests_test, answer_without_not_run_is_not_remembered)
{
    requests_.remember(entry_, 7, answer(schema::not_run_unknown), now_);
    EXPECT_FALSE(requests_.find(entry_, 7, now_));
}

// Guards against unbounded memory use under many refusals.
TEST_F(refused_requests_test, requests_over_the_bound_remove_the_oldest)
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
