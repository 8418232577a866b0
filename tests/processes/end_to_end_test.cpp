#include "tests/processes/process_cluster.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace savoryreach::processes
{
namespace
{

class end_to_end_test : public testing::Test
{
protected:
    void SetUp() override { cluster_.start(); }

    /// Runs \p callers threads, each of which sends \p jobs jobs in sequence, each until its answer
    /// is final. Runs \p disruption meanwhile. Returns all answers by submission id.
    std::map<std::string, caller_answer> send_jobs(int callers, int jobs, bool idempotent,
                                                   const std::function<void()>& disruption)
    {
        std::mutex mutex;
        std::map<std::string, caller_answer> answers;
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [&, caller]
                {
                    for (int n = 0; n < jobs; ++n)
                    {
                        const auto id = absl::StrCat("job-", caller, "-", n);
                        const auto answer = cluster_.post_until_final(
                            1 + caller % process_cluster::entries,
                            make_job(id, tasks_per_job, run_ms, idempotent));
                        const std::lock_guard lock(mutex);
                        answers[id] = answer;
                    }
                });
        }
        disruption();
        for (auto& it : threads)
        {
            it.join();
        }
        return answers;
    }

    void expect_all_outputs(const std::string& id, const caller_answer& answer) const
    {
        ASSERT_EQ(answer.body["outputs"].size(), static_cast<unsigned>(tasks_per_job)) << id;
        for (int n = 0; n < tasks_per_job; ++n)
        {
            EXPECT_EQ(answer.body["outputs"][n].asString(),
                      absl::StrCat("done:run_ms=", run_ms, " ", id, " ", n));
        }
    }

    void expect_single_starts() const
    {
        for (const auto& [task, count] : cluster_.starts())
        {
            EXPECT_EQ(count, 1) << task;
        }
    }

    static constexpr int tasks_per_job = 5;
    static constexpr int run_ms = 60;
    process_cluster cluster_;
};

// Guards against a duplicate of a submission that starts tasks again or gets another answer.
TEST_F(end_to_end_test, fifty_concurrent_duplicates_get_one_answer_and_one_start_per_task)
{
    constexpr int duplicates = 50;
    const auto job = make_job("swan-lake", 8, 100);
    std::vector<caller_answer> answers(duplicates);
    std::vector<std::thread> threads;
    threads.reserve(duplicates);
    for (int n = 0; n < duplicates; ++n)
    {
        threads.emplace_back(
            [&, n] { answers[n] = cluster_.post(1 + n % process_cluster::entries, job); });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    for (const auto& it : answers)
    {
        EXPECT_TRUE(it.is_complete()) << it.status << it.body;
        EXPECT_EQ(it.body["outputs"], answers[0].body["outputs"]);
    }
    const auto starts = cluster_.starts();
    EXPECT_EQ(starts.size(), 8U);
    expect_single_starts();
}

// Guards against a reused submission id with other content that gets the first job's answer.
TEST_F(end_to_end_test, other_content_under_the_same_id_is_refused)
{
    EXPECT_TRUE(cluster_.post(1, make_job("proof-1", 1, 10)).is_complete());
    const auto answer = cluster_.post(2, make_job("proof-1", 2, 10));
    EXPECT_EQ(answer.status, 409);
    EXPECT_EQ(answer.body["error"], "content_conflict");
}

// Guards against claims that are lost with the leading keeper and entries that don't switch to the
// new leader.
TEST_F(end_to_end_test, leading_keeper_killed_under_load_all_jobs_complete)
{
    const auto answers = send_jobs(8, 6, false,
                                   [&]
                                   {
                                       const auto leader = cluster_.leader();
                                       cluster_.kill_process(leader);
                                       EXPECT_NE(cluster_.leader(), leader);
                                       cluster_.start_process(leader);
                                   });
    for (const auto& [id, answer] : answers)
    {
        EXPECT_TRUE(answer.is_complete()) << id << answer.body;
        expect_all_outputs(id, answer);
    }
    expect_single_starts();
}

// Guards against an entry that takes over a failed entry's jobs and starts their tasks again.
TEST_F(end_to_end_test, entry_killed_under_load_no_task_starts_twice)
{
    const auto answers = send_jobs(8, 6, false,
                                   [&]
                                   {
                                       while (cluster_.starts().empty())
                                       {
                                           std::this_thread::yield();
                                       }
                                       cluster_.kill_process("entry-1");
                                       cluster_.start_process("entry-1");
                                   });
    for (const auto& [id, answer] : answers)
    {
        EXPECT_TRUE(answer.is_complete() || answer.body["error"] == "answer_not_held")
            << id << answer.body;
    }
    expect_single_starts();
}

// Guards against a second start of a task that may have run on a lost host, and against a partial
// answer.
TEST_F(end_to_end_test, agent_killed_under_load_jobs_complete_or_fail_with_outcome_unknown)
{
    const auto answers = send_jobs(8, 6, false,
                                   [&]
                                   {
                                       while (cluster_.starts().empty())
                                       {
                                           std::this_thread::yield();
                                       }
                                       cluster_.kill_process("agent-1");
                                       cluster_.start_process("agent-1");
                                   });
    for (const auto& [id, answer] : answers)
    {
        const bool unknown = answer.body["error"] == "outcome_unknown";
        EXPECT_TRUE(answer.is_complete() || unknown) << id << answer.body;
    }
    expect_single_starts();
}

// Guards against a graceful shutdown that drops requests.
TEST_F(end_to_end_test, rolling_restart_under_load_drops_no_request)
{
    const auto answers = send_jobs(
        6, 10, false,
        [&]
        {
            for (const auto* name :
                 {"keeper-1", "agent-1", "entry-1", "agent-2", "keeper-2", "entry-2", "keeper-3"})
            {
                EXPECT_EQ(cluster_.stop_process(name), 0) << name;
                EXPECT_EQ(cluster_.log_lines_with(name, "event=drain_finished complete=true"), 1)
                    << name;
                cluster_.start_process(name);
                cluster_.wait_ready(name);
            }
        });
    for (const auto& [id, answer] : answers)
    {
        EXPECT_TRUE(answer.is_complete()) << id << answer.body;
    }
    expect_single_starts();
}

} // namespace
} // namespace savoryreach::processes
