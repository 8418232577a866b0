#include "tests/entry/entry_fixture.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

using base::error_kind;

class entry_cluster_test : public entry_fixture
{
protected:
    /// Starts two ready entries and one agent, and waits until submissions are no longer held after
    /// the joins.
    void start_two_entries()
    {
        add_entry("e1");
        run(absl::Milliseconds(50));
        add_entry("e2");
        run(absl::Milliseconds(50));
        add_agent("a1");
        run(absl::Milliseconds(1500));
    }
    /// Starts entry "e1" with a running job and entry "e2", whose join "e1" does not learn of.
    /// Returns "e1".
    entry_node& start_with_stale_entry()
    {
        auto& former = start_one();
        agents["a1"]->start_behaviour = fake_agent::behaviour::run;
        submit(former, make("running", 1));
        run(absl::Milliseconds(50));
        agents["a1"]->start_behaviour = fake_agent::behaviour::succeed;
        network.cut(base::node_name("k1"), base::node_name("e1"));
        add_entry("e2");
        run(absl::Milliseconds(100));
        add_agent("a2");
        run(absl::Milliseconds(1400));
        return former;
    }
    [[nodiscard]] std::string id_with_home_at(const std::string& entry) const
    {
        return id_with_home(entry, "s", {"e1", "e2"});
    }
    /// Kills e1 and fences its epoch.
    void fence_first_entry()
    {
        const auto epoch = keeper.epochs["e1"];
        entries["e1"]->kill();
        keeper.fence(epoch);
    }
};

// Guards against running a submission twice when copies arrive at different entries.
TEST_F(entry_cluster_test, copies_at_two_entries_run_once_at_the_home)
{
    start_two_entries();
    const auto it = make(id_with_home_at("e2"), 3);
    const auto first = submit(*entries["e1"], it);
    const auto second = submit(*entries["e2"], it);
    run(absl::Milliseconds(300));
    EXPECT_EQ(entries["e1"]->answers[first].state(), schema::job_state_complete);
    EXPECT_EQ(entries["e2"]->answers[second].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 3);
    EXPECT_EQ(entries["e1"]->core->status().starts, 0);
}

// Guards against a caller that is never answered because one message was lost.
TEST_F(entry_cluster_test, lost_answer_is_asked_for_again)
{
    start_two_entries();
    const auto request = submit(*entries["e1"], make(id_with_home_at("e2"), 1));
    run(absl::Milliseconds(2));
    network.cut(base::node_name("e2"), base::node_name("e1"));
    run(absl::Milliseconds(500));
    EXPECT_FALSE(entries["e1"]->has(request));
    network.mend_all();
    run(absl::Milliseconds(300));
    ASSERT_TRUE(entries["e1"]->has(request));
    EXPECT_EQ(entries["e1"]->answers[request].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against the claim "not run" for a submission whose home cannot be reached.
TEST_F(entry_cluster_test, unreachable_home_is_reported_at_the_deadline)
{
    start_two_entries();
    network.cut(base::node_name("e1"), base::node_name("e2"));
    const auto request = submit(*entries["e1"], make(id_with_home_at("e2"), 1), absl::Seconds(1));
    run(absl::Milliseconds(999));
    EXPECT_FALSE(entries["e1"]->has(request));
    run(absl::Milliseconds(2));
    EXPECT_EQ(entries["e1"]->kind_of(request), error_kind::unreachable);
    EXPECT_EQ(entries["e1"]->answers[request].not_run(), schema::not_run_unknown);
}

// Guards against a lookup or cancellation that does not reach the home.
TEST_F(entry_cluster_test, lookup_and_cancel_reach_the_home)
{
    start_two_entries();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto id = id_with_home_at("e2");
    submit(*entries["e2"], make(id, 1));
    run(absl::Milliseconds(50));
    entries["e1"]->core->lookup(1001, id);
    entries["e1"]->core->lookup(1002, id_with_home_at("e2") + "-unknown");
    run(absl::Milliseconds(50));
    EXPECT_EQ(entries["e1"]->answers[1001].state(), schema::job_state_running);
    EXPECT_EQ(entries["e1"]->kind_of(1002), error_kind::not_found);
    entries["e1"]->core->cancel(1003, id);
    run(absl::Milliseconds(500));
    EXPECT_EQ(entries["e1"]->kind_of(1003), error_kind::cancelled);
}

// Guards against two owners when the owner in the ledger differs from the home by the hash.
TEST_F(entry_cluster_test, claim_owned_elsewhere_is_forwarded_to_the_owner)
{
    add_entry("e1");
    run(absl::Milliseconds(50));
    add_agent("a1");
    run(absl::Milliseconds(100));
    agents["a1"]->run_time = absl::Seconds(3);
    const auto it = make(id_with_home_at("e2"), 1);
    const auto first = submit(*entries["e1"], it);
    run(absl::Milliseconds(100));
    add_entry("e2");
    run(absl::Milliseconds(500));
    const auto copy = submit(*entries["e2"], it);
    run(absl::Seconds(4));
    EXPECT_EQ(entries["e1"]->answers[first].state(), schema::job_state_complete);
    ASSERT_TRUE(entries["e2"]->has(copy));
    EXPECT_EQ(entries["e2"]->answers[copy].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against a start at the new home while a refusal by the former home is in force.
TEST_F(entry_cluster_test, unknown_submission_with_a_new_home_is_held)
{
    start_two_entries();
    const auto id = id_with_home_at("e1");
    fence_first_entry();
    run(absl::Milliseconds(100));
    const auto request = submit(*entries["e2"], make(id, 1));
    run(absl::Milliseconds(800));
    EXPECT_EQ(keeper.claims, 1);
    EXPECT_TRUE(agents["a1"]->starts.empty());
    run(absl::Milliseconds(300));
    EXPECT_EQ(entries["e2"]->answers[request].state(), schema::job_state_complete);
}

// Guards against a start at the new home while a refusal is in force that a live former home with
// an older view has given.
TEST_F(entry_cluster_test, refusal_of_a_former_home_with_a_stale_view_is_in_force_at_the_new_home)
{
    auto& former = start_with_stale_entry();
    auto& home = *entries["e2"];
    const auto id = id_with_home_at("e2");
    former.core->begin_drain();
    const auto refused = submit(former, make(id, 1));
    EXPECT_EQ(former.answers[refused].not_run(), schema::not_run_true);
    const auto retry = absl::Milliseconds(former.answers[refused].retry_after_ms());
    const auto copy = submit(home, make(id, 1));
    run(retry - absl::Milliseconds(1));
    EXPECT_EQ(home.core->status().starts, 0);
    ASSERT_TRUE(home.has(copy));
    EXPECT_EQ(home.kind_of(copy), error_kind::draining);
    EXPECT_EQ(home.answers[copy].not_run(), schema::not_run_true);
    run(absl::Milliseconds(20));
    const auto next = submit(home, make(id, 1));
    run(absl::Milliseconds(100));
    EXPECT_EQ(home.answers[next].state(), schema::job_state_complete);
}

// Guards against a former home with a stale view that claims "not run" for a job that the new home
// runs.
TEST_F(entry_cluster_test,
       former_home_with_a_stale_view_does_not_claim_not_run_for_job_at_the_new_home)
{
    auto& former = start_with_stale_entry();
    auto& home = *entries["e2"];
    const auto id = id_with_home_at("e2");
    const auto first = submit(home, make(id, 1));
    run(absl::Milliseconds(100));
    EXPECT_EQ(home.answers[first].state(), schema::job_state_complete);
    former.core->begin_drain();
    const auto late = submit(former, make(id, 1));
    run(absl::Seconds(3));
    ASSERT_TRUE(former.has(late));
    EXPECT_NE(former.answers[late].not_run(), schema::not_run_true);
}

// Guards against the claim "not run" for a refused copy of a job that a failed entry has run.
TEST_F(entry_cluster_test, refusal_at_a_new_home_asks_the_ledger_first)
{
    start_two_entries();
    const auto id = id_with_home_at("e1");
    submit(*entries["e1"], make(id, 1));
    run(absl::Milliseconds(100));
    fence_first_entry();
    run(absl::Milliseconds(100));
    entries["e2"]->core->begin_drain();
    const auto copy = submit(*entries["e2"], make(id, 1));
    run(absl::Seconds(3));
    ASSERT_TRUE(entries["e2"]->has(copy));
    EXPECT_NE(entries["e2"]->answers[copy].not_run(), schema::not_run_true);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against a draining home that refuses submissions which another entry could accept, and
// against a second run of a job that the other entry already runs.
TEST_F(entry_cluster_test, draining_home_forwards_unknown_submissions)
{
    start_two_entries();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto id = id_with_home_at("e1");
    const auto known = id_with_home("e1", "known", {"e1", "e2"});
    const auto before = submit(*entries["e1"], make(known, 1));
    run(absl::Milliseconds(50));
    entries["e1"]->core->begin_drain();
    const auto first = submit(*entries["e2"], make(id, 2));
    run(absl::Milliseconds(50));
    EXPECT_EQ(entries["e2"]->core->status().starts, 2);
    const auto copy = submit(*entries["e1"], make(id, 2));
    const auto joined = submit(*entries["e1"], make(known, 1));
    run(absl::Milliseconds(50));
    EXPECT_EQ(entries["e1"]->core->status().starts, 1);
    agents["a1"]->end_task(id, 0);
    agents["a1"]->end_task(id, 1);
    agents["a1"]->end_task(known, 0);
    run(absl::Milliseconds(100));
    for (const auto request : {before, copy, joined})
    {
        EXPECT_EQ(entries["e1"]->answers[request].state(), schema::job_state_complete);
    }
    EXPECT_EQ(entries["e2"]->answers[first].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 3);
    run(absl::Seconds(2));
    EXPECT_TRUE(entries["e1"]->core->is_drained());
}

// Guards against a draining home that claims "not run" for a submission it has forwarded earlier.
TEST_F(entry_cluster_test, draining_home_refuses_only_when_alone_and_asks_the_ledger)
{
    start_two_entries();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto running = submit(*entries["e1"], make(id_with_home("e1", "r", {"e1", "e2"}), 1));
    run(absl::Milliseconds(50));
    entries["e1"]->core->begin_drain();
    const auto id = id_with_home_at("e1");
    submit(*entries["e1"], make(id, 1));
    run(absl::Milliseconds(50));
    ASSERT_EQ(agents["a1"]->count_starts(id), 1);
    const auto epoch = keeper.epochs["e2"];
    entries["e2"]->kill();
    keeper.fence(epoch);
    run(absl::Milliseconds(1500));
    const auto copy = submit(*entries["e1"], make(id, 1));
    const auto fresh = submit(*entries["e1"], make(id_with_home("e1", "f", {"e1"}), 1));
    run(absl::Milliseconds(500));
    ASSERT_TRUE(entries["e1"]->has(fresh));
    EXPECT_EQ(entries["e1"]->kind_of(fresh), error_kind::draining);
    agents["a1"]->end_task(id, 0);
    run(absl::Seconds(2));
    ASSERT_TRUE(entries["e1"]->has(copy));
    EXPECT_NE(entries["e1"]->answers[copy].not_run(), schema::not_run_true);
    EXPECT_EQ(agents["a1"]->count_starts(id), 1);
    EXPECT_FALSE(entries["e1"]->has(running));
}

// Guards against a second start of tasks that a failed entry has started, and against tasks that
// are never started because it failed.
TEST_F(entry_cluster_test, takeover_adopts_ended_awaits_running_and_starts_the_rest)
{
    start_two_entries();
    const auto id = id_with_home_at("e1");
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    agents["a1"]->credit = 2;
    // A credit of two starts leaves the last task unstarted when the entry fails.
    submit(*entries["e1"], make(id + "-x", 1));
    submit(*entries["e1"], make(id, 3));
    run(absl::Milliseconds(100));
    const auto started = agents["a1"]->count_starts(id);
    ASSERT_GE(started, 1);
    fence_first_entry();
    run(absl::Milliseconds(100));
    agents["a1"]->end_task(id, 0);
    agents["a1"]->start_behaviour = fake_agent::behaviour::succeed;
    const auto copy = submit(*entries["e2"], make(id, 3));
    run(absl::Seconds(3));
    if (started > 1)
    {
        EXPECT_FALSE(entries["e2"]->has(copy));
        agents["a1"]->end_task(id, 1);
    }
    if (started > 2)
    {
        agents["a1"]->end_task(id, 2);
    }
    run(absl::Seconds(2));
    ASSERT_TRUE(entries["e2"]->has(copy));
    EXPECT_EQ(entries["e2"]->answers[copy].state(), schema::job_state_complete);
    EXPECT_EQ(entries["e2"]->answers[copy].outputs(0), "0-done");
    EXPECT_EQ(agents["a1"]->count_starts(id), 3);
}

// Guards against a second start of a task that an unreachable agent may have started.
TEST_F(entry_cluster_test, takeover_with_unresolved_agent_fails_what_is_not_idempotent)
{
    start_two_entries();
    const auto id = id_with_home_at("e1");
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    submit(*entries["e1"], make(id, 1));
    run(absl::Milliseconds(100));
    ASSERT_EQ(agents["a1"]->starts.size(), 1);
    agents["a1"]->answers_inquiries = false;
    fence_first_entry();
    run(absl::Milliseconds(100));
    const auto copy = submit(*entries["e2"], make(id, 1), absl::Seconds(30));
    run(absl::Milliseconds(5500));
    EXPECT_FALSE(entries["e2"]->has(copy));
    run(absl::Seconds(1));
    ASSERT_TRUE(entries["e2"]->has(copy));
    EXPECT_EQ(entries["e2"]->kind_of(copy), error_kind::outcome_unknown);
    EXPECT_EQ(entries["e2"]->answers[copy].not_run(), schema::not_run_unknown);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against a new attempt while the earlier one may still run at an unreachable agent.
TEST_F(entry_cluster_test, takeover_with_unresolved_agent_retries_idempotent_after_the_fence_wait)
{
    start_two_entries();
    const auto id = id_with_home_at("e1");
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    submit(*entries["e1"], make(id, 1, true));
    run(absl::Milliseconds(100));
    agents["a1"]->answers_inquiries = false;
    fence_first_entry();
    run(absl::Milliseconds(1100));
    agents["a1"]->start_behaviour = fake_agent::behaviour::succeed;
    const auto copy = submit(*entries["e2"], make(id, 1, true), absl::Seconds(30));
    run(absl::Milliseconds(8400));
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
    run(absl::Milliseconds(300));
    EXPECT_EQ(entries["e2"]->answers[copy].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 2);
    EXPECT_GE(agents["a1"]->starts[1].task.attempt(), 1);
}

// Guards against one inquiry per job, which would overload the agents after the failure of an
// entry.
TEST_F(entry_cluster_test, takeover_asks_each_agent_once_for_all_jobs)
{
    start_two_entries();
    keeper.answers_finishes = false;
    for (int n = 0; n < 5; ++n)
    {
        submit(*entries["e1"], make(id_with_home("e1", "t" + std::to_string(n), {"e1", "e2"}), 1));
    }
    run(absl::Milliseconds(100));
    fence_first_entry();
    run(absl::Milliseconds(1100));
    std::vector<std::uint64_t> copies(5);
    for (std::size_t n = 0; n < copies.size(); ++n)
    {
        copies[n] = submit(*entries["e2"],
                           make(id_with_home("e1", "t" + std::to_string(n), {"e1", "e2"}), 1));
    }
    run(absl::Milliseconds(200));
    for (const auto copy : copies)
    {
        EXPECT_EQ(entries["e2"]->answers[copy].state(), schema::job_state_complete);
    }
    EXPECT_EQ(agents["a1"]->inquiries, 1);
    EXPECT_EQ(agents["a1"]->starts.size(), 5);
}

// Guards against starts under an expired lease, and against callers that get no answer.
TEST_F(entry_cluster_test, entry_without_lease_refuses_what_has_not_started)
{
    auto& entry = start_one();
    agents["a1"]->is_draining = true;
    run(absl::Milliseconds(600));
    const auto waiting = submit(entry, make("s", 1));
    run(absl::Milliseconds(50));
    keeper.is_silent = true;
    run(absl::Seconds(3));
    EXPECT_FALSE(entry.core->is_ready());
    EXPECT_EQ(entry.kind_of(waiting), error_kind::not_ready);
    EXPECT_EQ(entry.answers[waiting].not_run(), schema::not_run_true);
    const auto later = submit(entry, make("t", 1));
    EXPECT_EQ(entry.kind_of(later), error_kind::not_ready);
    agents["a1"]->is_draining = false;
    run(absl::Seconds(1));
    EXPECT_TRUE(agents["a1"]->starts.empty());
    keeper.is_silent = false;
    run(absl::Seconds(2));
    EXPECT_TRUE(entry.core->is_ready());
}

// Guards against an isolated entry and its successor that give different answers.
TEST_F(entry_cluster_test, answer_unknown_to_the_ledger_is_not_given_without_lease)
{
    auto& entry = start_one();
    keeper.answers_finishes = false;
    const auto first = submit(entry, make("s", 1));
    run(absl::Milliseconds(200));
    ASSERT_EQ(entry.answers[first].state(), schema::job_state_complete);
    keeper.is_silent = true;
    run(absl::Seconds(4));
    const auto copy = submit(entry, make("s", 1));
    EXPECT_EQ(entry.kind_of(copy), error_kind::not_ready);
    EXPECT_EQ(entry.answers[copy].not_run(), schema::not_run_unknown);
    keeper.is_silent = false;
    keeper.answers_finishes = true;
    run(absl::Seconds(3));
    const auto later = submit(entry, make("s", 1));
    EXPECT_EQ(entry.answers[later].state(), schema::job_state_complete);
}

// Guards against an entry that continues to work under a fenced epoch.
TEST_F(entry_cluster_test, fenced_entry_answers_its_callers_and_joins_again)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto running = submit(entry, make("s", 1));
    run(absl::Milliseconds(100));
    const auto epoch = entry.core->status().epoch;
    keeper.fence(epoch);
    run(absl::Seconds(2));
    EXPECT_EQ(entry.kind_of(running), error_kind::unreachable);
    EXPECT_EQ(entry.answers[running].not_run(), schema::not_run_unknown);
    EXPECT_GT(entry.core->status().epoch, epoch);
    EXPECT_TRUE(entry.core->is_ready());
    agents["a1"]->end_task("s", 0);
    const auto copy = submit(entry, make("s", 1));
    run(absl::Seconds(2));
    EXPECT_EQ(entry.answers[copy].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against a configuration that reverts to an older revision or is not applied.
TEST_F(entry_cluster_test, configuration_takes_effect_and_never_reverts)
{
    auto& entry = start_one();
    schema::declaration it;
    it.set_name("retention");
    it.set_version(1);
    it.mutable_retention()->set_answer_retention_ms(1000);
    keeper.configure(it);
    run(absl::Milliseconds(10));
    EXPECT_EQ(entry.core->status().config_revision, 1);
    schema::envelope old;
    old.mutable_view_push()->mutable_view()->set_config_complete(true);
    entry.core->receive(base::node_name("k1"), old);
    EXPECT_EQ(entry.core->status().config_revision, 1);
    submit(entry, make("s", 1));
    run(absl::Seconds(2));
    EXPECT_EQ(agents["a1"]->released, std::vector<std::string>{"s"});
}

} // namespace
} // namespace savoryreach::entry
