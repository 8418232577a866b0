#include "savoryreach/agent/start_record.hpp"

#include <gtest/gtest.h>

namespace savoryreach::agent
{
namespace
{

class start_record_test : public testing::Test
{
protected:
    void add_ended_record(std::uint32_t task, std::size_t bytes)
    {
        const base::attempt_id id{"job", task, 0};
        schema::task_result result;
        result.set_outcome(schema::task_succeeded);
        result.set_output(std::string(bytes, 'x'));
        records_.add_start(id, 7);
        records_.set_result(id, result, now_);
    }

    absl::Time now_ = absl::FromUnixSeconds(1'000);
    start_record records_{100};
};

// Guards against unbounded memory for outputs, and against dropping the record of a start together
// with its output.
TEST_F(start_record_test, output_bound_drops_oldest_outputs_and_keeps_starts)
{
    add_ended_record(0, 60);
    add_ended_record(1, 60);
    EXPECT_EQ(records_.size(), 2u);
    EXPECT_EQ(records_.result_bytes(), 60u);
    const auto* oldest = records_.find({"job", 0, 0});
    ASSERT_NE(oldest, nullptr);
    EXPECT_EQ(oldest->result.outcome(), schema::task_unknown)
        << "success reported for a dropped output";
    EXPECT_EQ(records_.find({"job", 1, 0})->result.output().size(), 60u);
}

// Guards against records that are dropped before an inquiry can ask for them, and against records
// that are never dropped.
TEST_F(start_record_test, retention_drops_ended_starts_and_recalls_after_10_minutes)
{
    add_ended_record(0, 10);
    records_.add_start({"job", 1, 0}, 7);
    records_.add_recall({"job", 2, 0}, 7, now_);
    records_.expire(now_ + absl::Minutes(10) - absl::Seconds(1));
    EXPECT_EQ(records_.size(), 2u);
    EXPECT_TRUE(records_.was_recalled({"job", 2, 0}, 7));
    records_.expire(now_ + absl::Minutes(10));
    EXPECT_EQ(records_.find({"job", 0, 0}), nullptr);
    EXPECT_NE(records_.find({"job", 1, 0}), nullptr) << "record of a running attempt was dropped";
    EXPECT_FALSE(records_.was_recalled({"job", 2, 0}, 7));
    EXPECT_EQ(records_.result_bytes(), 0u);
}

} // namespace
} // namespace savoryreach::agent
