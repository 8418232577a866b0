#include "tests/entry/entry_fixture.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

using base::error_kind;

class entry_submission_test : public entry_fixture
{
};

// Guards against an answer whose outputs are incomplete or not in task order.
TEST_F(entry_submission_test, submission_with_free_agent_is_answered_complete)
{
    auto& entry = start_one();
    EXPECT_TRUE(entry.core->is_ready());
    const auto request = submit(entry, make("s", 12));
    run(absl::Milliseconds(200));
    ASSERT_TRUE(entry.has(request));
    const auto& answer = entry.answers[request];
    EXPECT_EQ(answer.state(), schema::job_state_complete);
    ASSERT_EQ(answer.outputs_size(), 12);
    EXPECT_EQ(answer.outputs(0), "0-done");
    EXPECT_EQ(answer.outputs(11), "11-done");
    EXPECT_EQ(agents["a1"]->starts.size(), 12);
    EXPECT_EQ(entry.core->status().starts, 12);
    EXPECT_EQ(entry.core->status().completed, 1);
}

// Guards against a second execution, or a different answer, for a copy of a running or ended job.
TEST_F(entry_submission_test, copies_join_and_get_equal_answers)
{
    auto& entry = start_one();
    const auto first = submit(entry, make("s", 3));
    const auto second = submit(entry, make("s", 3));
    run(absl::Milliseconds(200));
    const auto late = submit(entry, make("s", 3));
    run(absl::Milliseconds(200));
    ASSERT_TRUE(entry.has(first) && entry.has(second) && entry.has(late));
    EXPECT_EQ(entry.answers[first].SerializeAsString(), entry.answers[second].SerializeAsString());
    EXPECT_EQ(entry.answers[first].SerializeAsString(), entry.answers[late].SerializeAsString());
    EXPECT_EQ(agents["a1"]->starts.size(), 3);
    EXPECT_EQ(entry.core->status().joined, 2);
}

// Guards against answering a submission with the results of different content under the same id.
TEST_F(entry_submission_test, same_id_with_other_content_is_a_conflict)
{
    auto& entry = start_one();
    const auto first = submit(entry, make("s", 3));
    const auto other = submit(entry, make("s", 4));
    keeper.scripted["t"] = schema::claim_conflict;
    const auto by_ledger = submit(entry, make("t", 1));
    run(absl::Milliseconds(200));
    EXPECT_EQ(entry.answers[first].state(), schema::job_state_complete);
    EXPECT_EQ(entry.kind_of(other), error_kind::content_conflict);
    EXPECT_EQ(entry.kind_of(by_ledger), error_kind::content_conflict);
}

// Guards against starting a task while another entry may hold the claim.
TEST_F(entry_submission_test, no_task_is_sent_before_the_claim_is_granted)
{
    auto& entry = start_one();
    keeper.answers_claims = false;
    const auto request = submit(entry, make("s", 3));
    run(absl::Seconds(1));
    EXPECT_TRUE(agents["a1"]->starts.empty());
    keeper.answers_claims = true;
    run(absl::Seconds(1));
    EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
}

// Guards against one ledger write per submission under load.
TEST_F(entry_submission_test, claims_that_arrive_while_one_is_in_flight_share_a_batch)
{
    auto& entry = start_one();
    submit(entry, make("first", 1));
    run(absl::Milliseconds(1));
    for (int n = 0; n < 20; ++n)
    {
        submit(entry, make("s" + std::to_string(n), 1));
    }
    run(absl::Milliseconds(300));
    EXPECT_EQ(keeper.claims, 21);
    EXPECT_EQ(keeper.claim_batches, 2);
}

// Guards against a copy that runs before the retry deadline of an earlier refusal.
TEST_F(entry_submission_test, refusal_is_repeated_until_its_retry_deadline)
{
    auto& entry = start_one();
    auto refused = make("s", 1);
    refused.set_kind("proof");
    keeper.scripted["s"] = schema::claim_full;
    const auto first = submit(entry, refused);
    run(absl::Milliseconds(20));
    EXPECT_EQ(entry.kind_of(first), error_kind::ledger_full);
    EXPECT_EQ(entry.answers[first].not_run(), schema::not_run_true);
    keeper.scripted.clear();
    const auto early = submit(entry, refused);
    run(absl::Milliseconds(20));
    EXPECT_EQ(entry.kind_of(early), error_kind::ledger_full);
    run(absl::Milliseconds(entry.answers[first].retry_after_ms()));
    const auto later = submit(entry, refused);
    run(absl::Milliseconds(100));
    EXPECT_EQ(entry.answers[later].state(), schema::job_state_complete);
}

// Guards against an admission refusal that needs a ledger write or claims that a task ran.
TEST_F(entry_submission_test, admission_refusal_costs_no_claim)
{
    auto& entry = start_one();
    auto late = make("s", 1);
    late.mutable_tasks(0)->set_declared_run_ms(5000);
    late.set_time_budget_ms(1);
    const auto request = submit(entry, late);
    run(absl::Milliseconds(50));
    EXPECT_EQ(entry.kind_of(request), error_kind::deadline_unreachable);
    EXPECT_EQ(entry.answers[request].not_run(), schema::not_run_true);
    EXPECT_EQ(keeper.claims, 0);
}

// Guards against the claim "not run" for a job that ran and whose answer is no longer retained.
TEST_F(entry_submission_test, copy_after_retention_is_answered_not_held)
{
    auto& entry = start_one();
    submit(entry, make("s", 2));
    run(absl::Seconds(31));
    EXPECT_EQ(keeper.finished, std::vector<std::string>{"s"});
    EXPECT_EQ(agents["a1"]->released, std::vector<std::string>{"s"});
    const auto late = submit(entry, make("s", 2));
    run(absl::Milliseconds(50));
    EXPECT_EQ(entry.kind_of(late), error_kind::answer_not_held);
    EXPECT_EQ(entry.answers[late].not_run(), schema::not_run_false);
    EXPECT_EQ(agents["a1"]->starts.size(), 2);
}

// Guards against removing a job that ran before the ledger has acknowledged its end.
TEST_F(entry_submission_test, job_is_kept_until_its_finish_is_acknowledged)
{
    auto& entry = start_one();
    keeper.answers_finishes = false;
    submit(entry, make("s", 1));
    run(absl::Seconds(35));
    const auto copy = submit(entry, make("s", 1));
    run(absl::Milliseconds(5));
    EXPECT_EQ(entry.answers[copy].state(), schema::job_state_complete);
    EXPECT_TRUE(agents["a1"]->released.empty());
}

// Guards against a caller that is not answered while the job is running.
TEST_F(entry_submission_test, caller_is_answered_running_by_its_deadline)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto state_only = submit(entry, make("s", 1), absl::Seconds(20), false);
    const auto until_end = submit(entry, make("s", 1), absl::Milliseconds(300));
    run(absl::Milliseconds(100));
    EXPECT_EQ(entry.answers[state_only].state(), schema::job_state_running);
    EXPECT_FALSE(entry.has(until_end));
    run(absl::Milliseconds(201));
    EXPECT_EQ(entry.answers[until_end].state(), schema::job_state_running);
}

// Guards against cancelled tasks that stay in the queue, and against a wrong claim about what ran.
TEST_F(entry_submission_test, cancel_removes_waiting_tasks_and_reports_what_ran)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::queue;
    const auto unstarted = submit(entry, make("s", 20));
    run(absl::Milliseconds(50));
    entry.core->cancel(1001, "s");
    EXPECT_EQ(entry.core->status().waiting_tasks, 0);
    run(absl::Milliseconds(50));
    EXPECT_EQ(entry.kind_of(unstarted), error_kind::cancelled);
    EXPECT_EQ(entry.answers[1001].not_run(), schema::not_run_true);
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    submit(entry, make("t", 1));
    run(absl::Milliseconds(50));
    entry.core->cancel(1002, "t");
    run(absl::Milliseconds(300));
    EXPECT_EQ(entry.answers[1002].not_run(), schema::not_run_unknown);
    EXPECT_EQ(entry.answers[1002].tasks_started(), 1);
}

// Guards against a job that runs past its time budget, and against the claim "not run" for tasks
// that may have started.
TEST_F(entry_submission_test, job_fails_when_its_budget_passes)
{
    auto& entry = start_one();
    auto it = make("s", 1);
    it.set_time_budget_ms(5000);
    agents["a1"]->start_behaviour = fake_agent::behaviour::queue;
    const auto given_back = submit(entry, it);
    run(absl::Milliseconds(5300));
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
    EXPECT_EQ(entry.kind_of(given_back), error_kind::deadline_passed);
    EXPECT_EQ(entry.answers[given_back].not_run(), schema::not_run_true);
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    *it.mutable_submission_id() = "t";
    const auto kept = submit(entry, it);
    run(absl::Milliseconds(5300));
    EXPECT_EQ(entry.kind_of(kept), error_kind::deadline_passed);
    EXPECT_NE(entry.answers[kept].not_run(), schema::not_run_true);
}

// Guards against a draining entry that accepts new jobs, interrupts running jobs, or never leaves.
TEST_F(entry_submission_test, draining_entry_finishes_its_jobs_and_leaves)
{
    auto& entry = start_one();
    agents["a1"]->run_time = absl::Seconds(2);
    const auto running = submit(entry, make("s", 1));
    run(absl::Milliseconds(100));
    entry.core->begin_drain();
    EXPECT_FALSE(entry.core->is_ready());
    const auto refused = submit(entry, make("t", 1));
    run(absl::Milliseconds(100));
    EXPECT_EQ(entry.kind_of(refused), error_kind::draining);
    EXPECT_EQ(keeper.leaves, 0);
    run(absl::Seconds(4));
    EXPECT_EQ(entry.answers[running].state(), schema::job_state_complete);
    EXPECT_TRUE(entry.core->is_drained());
    EXPECT_EQ(keeper.leaves, 1);
}

// Guards against missing events in the lifecycle of a job.
TEST_F(entry_submission_test, events_cover_the_lifecycle_of_a_job)
{
    auto& entry = start_one();
    submit(entry, make("s", 1));
    run(absl::Milliseconds(100));
    const std::vector<std::string> expected{"agent_joined",  "job_accepted", "claim_sent",
                                            "claim_granted", "task_sent",    "result_received",
                                            "job_answered"};
    EXPECT_EQ(entry.events, expected);
}

} // namespace
} // namespace savoryreach::entry
