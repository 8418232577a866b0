#include "savoryreach/observe/timeline.hpp"

#include "savoryreach/observe/explanation.hpp"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <json/reader.h>

namespace savoryreach::observe
{
namespace
{

class timeline_test : public testing::Test
{
public:
    /// One line: the hybrid clock counts \p order ms, the wall clock of its process \p wall_ms.
    static std::string line(int order, int wall_ms, const std::string& process,
                            const std::string& kind, const std::string& fields)
    {
        event_line it{static_cast<std::uint64_t>(order) << 16U,
                      absl::FromUnixMillis(wall_ms),
                      process,
                      1,
                      kind,
                      {}};
        return it.to_text() + " submission=s1 " + fields + "\n";
    }

    /// A job with a quick task 0 and a task 1 with two attempts; the agents' clocks are 1 s ahead.
    static void add_job(timeline& events)
    {
        events.add_text(line(7, 1130, "agent-1", "task_started", "task=1 attempt=0") +
                        line(8, 1150, "agent-1", "task_ended", "task=1 attempt=0") +
                        line(12, 1182, "agent-2", "task_started", "task=1 attempt=1") +
                        line(13, 1282, "agent-2", "task_ended", "task=1 attempt=1"));
        events.add_text(line(1, 100, "entry-1", "job_accepted", "team=swan") +
                        line(2, 105, "entry-1", "claim_granted", "owner=entry-1") +
                        line(3, 106, "entry-1", "task_sent", "task=0 attempt=0") +
                        line(4, 110, "entry-1", "result_received", "task=0 attempt=0") +
                        line(5, 112, "entry-1", "task_sent", "task=1 attempt=0") +
                        line(9, 160, "entry-1", "result_received", "task=1 attempt=0") +
                        line(10, 170, "entry-1", "task_sent", "task=1 attempt=1") +
                        line(14, 290, "entry-1", "result_received", "task=1 attempt=1") +
                        line(15, 293, "entry-1", "job_answered", "state=complete") +
                        "hlc=5 wall=2026-12-0");
    }
};

// Guards against merging by wall clocks, which differ between hosts, and against filters that let
// other events pass.
TEST_F(timeline_test, files_merge_in_hlc_order_and_filters_apply)
{
    timeline events;
    add_job(events);
    EXPECT_EQ(events.malformed_lines(), 1);
    const auto all = events.select({});
    ASSERT_EQ(all.size(), 13);
    EXPECT_TRUE(std::ranges::is_sorted(all, {}, &event_line::hlc));
    timeline::filter wanted;
    wanted.process = "agent-2";
    wanted.kind = "task_ended";
    EXPECT_EQ(events.select(wanted).size(), 1);
    wanted.submission = "other";
    EXPECT_TRUE(events.to_text(wanted).empty());
    wanted = {};
    wanted.from = absl::FromUnixMillis(7);
    wanted.to = absl::FromUnixMillis(9);
    const auto some = events.select(wanted);
    ASSERT_EQ(some.size(), 2);
    EXPECT_EQ(some[1].kind, "task_ended");
    EXPECT_FALSE(events.add_file("/nonexistent/events"));
}

// Guards against trace files that viewers refuse or that show runs at the wrong place.
TEST_F(timeline_test, trace_json_has_named_processes_instants_and_runs)
{
    timeline events;
    add_job(events);
    Json::Value root;
    std::istringstream(events.to_trace_json({})) >> root;
    int names = 0;
    int runs = 0;
    int instants = 0;
    for (const Json::Value& it : root["traceEvents"])
    {
        const std::string phase = it["ph"].asString();
        names += phase == "M" ? 1 : 0;
        instants += phase == "i" ? 1 : 0;
        if (phase == "X")
        {
            ++runs;
            EXPECT_EQ(it["dur"].asInt(), it["args"]["attempt"] == "0" ? 20'000 : 100'000);
            EXPECT_EQ(it["ts"].asInt(), it["args"]["attempt"] == "0" ? 1'130'000 : 1'182'000);
        }
    }
    EXPECT_EQ(names, 3);
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(instants, 9);
}

// Guards against a split of time that leaves time out or is distorted by clocks that differ.
TEST_F(timeline_test, explanation_parts_follow_the_last_task_and_add_up)
{
    timeline events;
    add_job(events);
    const auto it = explain(events, "s1");
    ASSERT_TRUE(it);
    EXPECT_EQ(it->task, "1");
    EXPECT_EQ(it->attempts, 2);
    EXPECT_EQ(it->claim, absl::Milliseconds(5));
    EXPECT_EQ(it->waiting_at_entry, absl::Milliseconds(7 + 10));
    EXPECT_EQ(it->run, absl::Milliseconds(20 + 100));
    // The agents' clocks are ahead, so the rest of each round trip is bounded by the round trip.
    EXPECT_EQ(it->waiting_at_agent, absl::Milliseconds(28 + 20));
    EXPECT_EQ(it->returning, absl::ZeroDuration());
    EXPECT_EQ(it->answer, absl::Milliseconds(3));
    EXPECT_EQ(it->total, absl::Milliseconds(193));
    EXPECT_EQ(it->claim + it->waiting_at_entry + it->waiting_at_agent + it->run + it->returning +
                  it->answer,
              it->total);
    // task 0 lacks its agent's events, but it is not the last task.
    EXPECT_TRUE(it->missing.empty());
    EXPECT_THAT(it->to_text(), testing::HasSubstr("run                     120.000 ms  62.2 %"));
    EXPECT_FALSE(explain(events, "s2"));
}

TEST_F(timeline_test, log_line_behind_a_prefix_is_an_event)
{
    const auto it = event_line::parse_log(
        " -13.8950 edge-1 time=2026-09-30T00:17:32.101Z level=WARN process=edge-1 "
        "event=link_lost hlc=117357114300891136 peer=edge-2 reason=\"silent for too long\"");
    ASSERT_TRUE(it);
    EXPECT_EQ(it->hlc, 117357114300891136U);
    EXPECT_EQ(it->process, "edge-1");
    EXPECT_EQ(it->kind, "link_lost");
    EXPECT_EQ(it->field("reason"), "silent for too long");
    EXPECT_EQ(absl::ToUnixMillis(it->wall) % 1000, 101);
}

TEST_F(timeline_test, log_line_without_hybrid_clock_is_ordered_by_wall_clock)
{
    timeline events;
    events.add_text("time=2026-09-30T00:17:33.000Z level=INFO process=b event=second\n"
                    "time=2026-09-30T00:17:32.000Z level=INFO process=a event=first\n"
                    "time=2026-09-30T00:17 level=INFO process=a event=cut\n");
    const auto lines = events.select({});
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].kind, "first");
    EXPECT_EQ(events.malformed_lines(), 1U);
}

} // namespace
} // namespace savoryreach::observe
