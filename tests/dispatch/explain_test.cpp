// Finds the cause of a failed or late job from its id: the three cases of docs/OPERATIONS.md.

#include "savoryreach/observe/job_story.hpp"
#include "tests/dispatch/fleet_world.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace savoryreach::dispatch
{
namespace
{

using ::testing::AllOf;
using ::testing::Contains;
using ::testing::HasSubstr;

const job_kind long_kind = {"/long/", 4, 900, 6.0};

class explained_fleet : public ::testing::Test
{
protected:
    explained_fleet()
    {
        world_.keep_log();
        world_.run(absl::Seconds(3));
    }

    /// The explanation of the first job that satisfies \p wanted.
    template <typename Predicate>
    observe::job_story story_of(Predicate wanted)
    {
        observe::timeline events;
        events.add_text(world_.log());
        EXPECT_EQ(events.malformed_lines(), 0U);
        for (const auto& [id, it] : world_.jobs())
        {
            if (!wanted(it))
            {
                continue;
            }
            if (auto out = observe::tell_job(events, format_job_id(id)))
            {
                return *out;
            }
        }
        ADD_FAILURE() << "no job in the log satisfies the predicate";
        return {};
    }

    fleet_world world_{6, 31};
};

TEST_F(explained_fleet, job_refused_under_load_names_wait_and_load)
{
    world_.load({{"/long/", 4, 900, 60.0}}, absl::Seconds(3));
    world_.run(absl::Seconds(6));
    const auto story =
        story_of([](const job_result& it) { return it.answer == schema::answer_refused; });
    EXPECT_EQ(story.outcome, "refused");
    EXPECT_THAT(story.causes,
                Contains(AllOf(HasSubstr("not run: expected wait of"), HasSubstr("return after"),
                               HasSubstr("core-seconds waited for"))));
}

TEST_F(explained_fleet, job_lost_with_its_endpoint_names_task_and_host)
{
    world_.load({long_kind}, absl::Seconds(3));
    world_.run(absl::Seconds(1));
    world_.cut(0, true);
    world_.run(absl::Seconds(8));
    observe::timeline events;
    events.add_text(world_.log());
    observe::timeline::filter lost;
    lost.kind = "run_over";
    const auto lines = events.select(lost);
    ASSERT_FALSE(lines.empty());
    const auto story = observe::tell_job(events, std::string(lines.front().field("submission")));
    ASSERT_TRUE(story);
    EXPECT_EQ(story->outcome, "answer_completed");
    EXPECT_THAT(story->causes, Contains(AllOf(HasSubstr("attempt 1 on " +
                                                        std::string(lines.front().field("peer"))),
                                              HasSubstr("was lost"), HasSubstr("agent_lost"))));
    EXPECT_GT(story->repeated, absl::Milliseconds(500));
    EXPECT_LE(story->waited + story->repeated + story->last_run, story->total);
}

TEST_F(explained_fleet, job_answered_late_after_change_of_dispatcher_names_it)
{
    world_.load({long_kind}, absl::Seconds(3));
    world_.run(absl::Seconds(1));
    world_.change_dispatcher(absl::Milliseconds(900));
    world_.run(absl::Seconds(8));
    const auto story = story_of(
        [](const job_result& it) {
            return it.answer == schema::answer_completed &&
                   it.answered_at - it.sent_at > it.objective;
        });
    EXPECT_EQ(story.outcome, "answer_completed");
    EXPECT_THAT(story.causes, Contains(HasSubstr("the dispatcher changed to")));
}

TEST_F(explained_fleet, job_within_its_objective_is_reported_as_such)
{
    world_.submit(long_kind);
    world_.run(absl::Seconds(4));
    const auto story = story_of([](const job_result&) { return true; });
    EXPECT_THAT(story.causes, Contains("completed within its objective"));
    EXPECT_FALSE(story.has_gaps);
}

} // namespace
} // namespace savoryreach::dispatch
