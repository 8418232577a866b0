#include "tests/agent/scripted_cluster.hpp"

#include <gtest/gtest.h>

namespace savoryreach::agent
{
namespace
{

class agent_core_test : public testing::Test
{
protected:
    scripted_cluster cluster_;
};

// Guards against a break anywhere on the way from registration to the result of a task.
TEST_F(agent_core_test, registered_agent_runs_a_start_and_reports_its_result)
{
    auto& entry = cluster_.open_entry("e1", 7);
    ASSERT_TRUE(cluster_.agent->is_ready());
    EXPECT_EQ(cluster_.agent->status().incarnation, 50u);
    EXPECT_GT(entry.credit, 0u);
    cluster_.send_start(entry, make_start("job"));
    cluster_.run_for(absl::Milliseconds(5));
    ASSERT_EQ(cluster_.endpoint.runs.size(), 1u);
    EXPECT_EQ(cluster_.endpoint.runs[0].attempt, (base::attempt_id{"job", 0, 0}));
    cluster_.end_run(0);
    cluster_.run_for(absl::Milliseconds(5));
    ASSERT_EQ(entry.results.size(), 1u);
    EXPECT_EQ(entry.results[0].outcome(), schema::task_succeeded);
    EXPECT_EQ(entry.results[0].output(), "out");
    EXPECT_EQ(cluster_.events.counts["task_started"], 1);
    EXPECT_EQ(cluster_.events.counts["session_opened"], 1);
}

} // namespace
} // namespace savoryreach::agent
