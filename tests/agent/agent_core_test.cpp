#include "tests/agent/scripted_cluster.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace savoryreach::agent
{
namespace
{

using testing::Each;
using testing::ElementsAre;

/// Agent with two slots and one open session with an entry of epoch 7.
class agent_core_test : public testing::Test
{
protected:
    void SetUp() override { entry_ = &cluster_.open_entry("e1", 7); }

    /// Allows 50 ms for the delivery and handling of messages.
    void deliver_messages() { cluster_.run_for(absl::Milliseconds(50)); }

    /// Sends starts of tasks 0 to n-1 of \p job; the two slots run the first two.
    void start_tasks(const std::string& job, std::uint32_t count)
    {
        for (std::uint32_t task = 0; task < count; ++task)
        {
            cluster_.send_start(*entry_, make_start(job, task));
        }
        deliver_messages();
    }

    void start(const schema::task_start& start)
    {
        cluster_.send_start(*entry_, start);
        deliver_messages();
    }

    void end_run(std::size_t run)
    {
        cluster_.end_run(run);
        deliver_messages();
    }

    [[nodiscard]] std::size_t run_count() const { return cluster_.endpoint.runs.size(); }

    [[nodiscard]] std::vector<schema::task_outcome> outcomes() const
    {
        std::vector<schema::task_outcome> all;
        for (const auto& result : entry_->results)
        {
            all.push_back(result.outcome());
        }
        return all;
    }

    scripted_cluster cluster_;
    scripted_entry* entry_ = nullptr;
};

// Guards against a reported round trip that is the last one measured, the minimum since the start
// of the agent, or always zero.
TEST_F(agent_core_test, hello_reports_the_minimum_of_recent_round_trips)
{
    const auto set_one_way_delay = [this](int ms)
    {
        cluster_.network.faults().min_delay = absl::Milliseconds(ms);
        cluster_.network.faults().max_delay = absl::Milliseconds(ms);
    };
    const auto reported = [this]
    {
        return entry_->hellos.back().round_trip_us();
    };
    EXPECT_EQ(entry_->hellos.front().round_trip_us(), 0u);
    set_one_way_delay(10);
    cluster_.run_for(absl::Seconds(2));
    EXPECT_GT(reported(), 0u);
    EXPECT_LT(reported(), 20'000u);
    cluster_.run_for(absl::Seconds(5));
    EXPECT_GE(reported(), 20'000u);
    EXPECT_LT(reported(), 23'000u);
    set_one_way_delay(50);
    cluster_.run_for(absl::Seconds(2));
    EXPECT_LT(reported(), 23'000u);
}

// Guards against a failure in any step from registration to the result of a task.
TEST_F(agent_core_test, registered_agent_runs_a_start_and_reports_its_result)
{
    ASSERT_TRUE(cluster_.agent->is_ready());
    EXPECT_EQ(cluster_.agent->status().incarnation, 50u);
    EXPECT_GT(entry_->credit_limit, 0u);
    start(make_start("job"));
    ASSERT_EQ(run_count(), 1u);
    EXPECT_EQ(cluster_.endpoint.runs[0].attempt, (base::attempt_id{"job", 0, 0}));
    end_run(0);
    ASSERT_EQ(entry_->results.size(), 1u);
    EXPECT_EQ(entry_->results[0].outcome(), schema::task_succeeded);
    EXPECT_EQ(entry_->results[0].output(), "out");
    EXPECT_EQ(cluster_.events.count("task_started"), 1);
    cluster_.run_for(absl::Seconds(1));
    ASSERT_EQ(entry_->hellos.back().counters_size(), 1);
    EXPECT_EQ(entry_->hellos.back().counters(0).succeeded(), 1u);
}

// Guards against a start without a lease, and against runs that continue long after its expiry.
TEST_F(agent_core_test, expired_lease_discards_waiting_starts_and_stops_runs_3_s_later)
{
    start_tasks("job", 3);
    entry_->lease_ms = 0;
    cluster_.run_for(absl::Milliseconds(2100));
    EXPECT_EQ(cluster_.events.count("session_lease_expired"), 1);
    EXPECT_EQ(cluster_.agent->status().waiting, 0u);
    cluster_.run_for(absl::Milliseconds(2300));
    EXPECT_TRUE(cluster_.endpoint.stopped_run_ids.empty());
    cluster_.run_for(absl::Seconds(1));
    EXPECT_EQ(cluster_.endpoint.stopped_run_ids.size(), 2u);
    end_run(0);
    start(make_start("late"));
    EXPECT_EQ(run_count(), 2u);
    entry_->lease_ms = 2000;
    cluster_.run_for(absl::Seconds(3));
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_not_started, schema::task_succeeded,
                                        schema::task_not_started));
}

// Guards against a lease that starts at the receipt of a delayed reply: the agent's lease would end
// after the entry's.
TEST_F(agent_core_test, lease_starts_when_the_hello_is_sent)
{
    cluster_.network.faults().min_delay = absl::Milliseconds(900);
    cluster_.network.faults().max_delay = absl::Milliseconds(900);
    cluster_.run_for(absl::Seconds(4));
    ASSERT_TRUE(cluster_.agent->is_ready());
    cluster_.network.isolate(entry_->name);
    // The hello of the last reply was sent at least 1.8 s ago: at most 0.2 s of the 2 s lease
    // remain.
    cluster_.run_for(absl::Milliseconds(210));
    EXPECT_FALSE(cluster_.agent->is_ready());
}

// Guards against a session that gets no more credit after its lease has expired and been renewed.
TEST_F(agent_core_test, lease_renewed_after_expiry_grants_new_credit)
{
    start_tasks("job", static_cast<std::uint32_t>(entry_->credit_limit));
    entry_->lease_ms = 0;
    cluster_.run_for(absl::Seconds(6));
    entry_->lease_ms = 2000;
    end_run(0);
    end_run(1);
    cluster_.run_for(absl::Seconds(2));
    EXPECT_GT(entry_->credit_limit, 3u);
}

// Guards against a second run of an attempt whose start is received more than once.
TEST_F(agent_core_test, repeated_start_does_not_run_again)
{
    start(make_start("job"));
    start(make_start("job"));
    end_run(0);
    start(make_start("job"));
    EXPECT_EQ(run_count(), 1u);
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_succeeded, schema::task_succeeded));
}

// Guards against a non-idempotent task that runs twice on one endpoint.
TEST_F(agent_core_test, other_attempt_of_non_idempotent_task_is_refused)
{
    start(make_start("job", 0, 0));
    end_run(0);
    start(make_start("job", 0, 1));
    EXPECT_EQ(run_count(), 1u);
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_succeeded, schema::task_not_started));
}

// Guards against concurrent runs of an idempotent task, and against a retry that is refused after
// the first run has ended.
TEST_F(agent_core_test, other_attempt_of_idempotent_task_is_refused_until_the_first_ends)
{
    auto retry = make_start("job", 0, 0);
    retry.set_idempotent(true);
    start(retry);
    retry.set_attempt(1);
    start(retry);
    EXPECT_EQ(run_count(), 1u);
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_not_started));
    end_run(0);
    retry.set_attempt(2);
    start(retry);
    EXPECT_EQ(run_count(), 2u);
}

// Guards against a run that starts after its deadline, when the caller no longer waits for it.
TEST_F(agent_core_test, waiting_start_past_its_deadline_is_refused)
{
    start_tasks("job", 2);
    auto urgent = make_start("job", 2);
    urgent.set_start_within_ms(100);
    start(urgent);
    cluster_.run_for(absl::Milliseconds(100));
    end_run(0);
    EXPECT_EQ(run_count(), 2u);
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_not_started, schema::task_succeeded));
}

// Guards against urgent tasks that wait for less urgent tasks received earlier.
TEST_F(agent_core_test, waiting_starts_run_by_urgency_then_arrival)
{
    start_tasks("job", 4);
    auto urgent = make_start("job", 4);
    urgent.set_urgency(9);
    start(urgent);
    end_run(0);
    end_run(1);
    ASSERT_EQ(run_count(), 4u);
    EXPECT_EQ(cluster_.endpoint.runs[2].attempt.task, 4u);
    EXPECT_EQ(cluster_.endpoint.runs[3].attempt.task, 2u);
}

// Guards against a task that occupies its slot beyond its run limit.
TEST_F(agent_core_test, run_limit_stops_the_run_once)
{
    auto slow = make_start("job");
    slow.set_run_limit_ms(200);
    start(slow);
    cluster_.run_for(absl::Milliseconds(100));
    EXPECT_TRUE(cluster_.endpoint.stopped_run_ids.empty());
    cluster_.run_for(absl::Milliseconds(100));
    EXPECT_EQ(cluster_.endpoint.stopped_run_ids.size(), 1u);
}

// Guards against a recalled task that runs at this agent while another endpoint runs it as well.
TEST_F(agent_core_test, recalled_waiting_start_never_runs)
{
    start_tasks("job", 3);
    cluster_.send_recall(*entry_, "job", 2);
    cluster_.send_recall(*entry_, "job", 0);
    deliver_messages();
    ASSERT_EQ(entry_->recall_results.size(), 2u);
    EXPECT_TRUE(entry_->recall_results[0].returned());
    EXPECT_FALSE(entry_->recall_results[1].returned());
    end_run(0);
    end_run(1);
    start(make_start("job", 2));
    EXPECT_EQ(run_count(), 2u);
    EXPECT_EQ(entry_->results.back().outcome(), schema::task_not_started);
}

// Guards against a cancelled task that starts, and against stopping a non-idempotent run.
TEST_F(agent_core_test, cancel_returns_waiting_starts_and_stops_idempotent_runs)
{
    auto idempotent = make_start("job", 9);
    idempotent.set_idempotent(true);
    start(idempotent);
    start_tasks("job", 2);
    schema::session_item item;
    item.mutable_cancel()->set_submission_id("job");
    cluster_.send_item(*entry_, item);
    deliver_messages();
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_not_started));
    EXPECT_THAT(cluster_.endpoint.stopped_run_ids, ElementsAre(cluster_.endpoint.runs[0].run_id));
}

// Guards against tasks of a fenced epoch that still start, and against an inquiry reply that omits
// a start.
TEST_F(agent_core_test, inquiry_fences_the_epoch_and_reports_every_start)
{
    auto& asker = cluster_.open_entry("e2", 8);
    start_tasks("job", 3);
    end_run(0);
    start(make_start("job", 3));
    cluster_.send_inquiry(asker, 7);
    deliver_messages();
    ASSERT_EQ(asker.inquiry_replies.size(), 1u);
    EXPECT_EQ(asker.inquiry_replies[0].incarnation(), 50u);
    ASSERT_EQ(asker.inquiry_replies[0].tasks_size(), 3);
    EXPECT_EQ(asker.inquiry_replies[0].tasks(0).result().output(), "out");
    EXPECT_FALSE(asker.inquiry_replies[0].tasks(1).ended());
    EXPECT_EQ(cluster_.agent->status().waiting, 0u);
    end_run(1);
    ASSERT_EQ(asker.inquiry_replies.size(), 2u);
    EXPECT_TRUE(asker.inquiry_replies[1].tasks(1).ended());
    start(make_start("late"));
    cluster_.run_for(absl::Seconds(1));
    EXPECT_EQ(run_count(), 3u);
    cluster_.send_inquiry(asker, 7);
    deliver_messages();
    EXPECT_EQ(asker.inquiry_replies.size(), 3u);
    EXPECT_EQ(cluster_.events.count("epoch_fenced"), 1);
}

// Guards against stopping a run while an entry that took over the job still inquires about it, and
// against leaving it running when no entry does.
TEST_F(agent_core_test, run_of_fenced_epoch_is_stopped_only_after_inquiries_end)
{
    auto& asker = cluster_.open_entry("e2", 8);
    start_tasks("job", 1);
    for (int second = 0; second < 10; ++second)
    {
        cluster_.send_inquiry(asker, 7);
        cluster_.run_for(absl::Seconds(1));
    }
    EXPECT_TRUE(cluster_.endpoint.stopped_run_ids.empty());
    cluster_.run_for(absl::Seconds(3));
    EXPECT_EQ(cluster_.endpoint.stopped_run_ids.size(), 1u);
}

// Guards against starts from an entry process that has been replaced in the membership.
TEST_F(agent_core_test, new_epoch_of_an_entry_replaces_its_session)
{
    start_tasks("job", 3);
    cluster_.fence_in_view(7);
    entry_ = &cluster_.open_entry("e1", 9);
    end_run(0);
    EXPECT_EQ(run_count(), 2u);
    start(make_start("other"));
    EXPECT_EQ(run_count(), 3u);
    EXPECT_EQ(cluster_.agent->status().sessions, 1u);
}

// Guards against a delayed view that reverts the configuration to an older revision.
TEST_F(agent_core_test, view_with_older_config_revision_is_ignored)
{
    entry_->view.set_config_revision(12);
    cluster_.run_for(absl::Seconds(1));
    entry_->view.set_config_revision(11);
    cluster_.run_for(absl::Seconds(1));
    EXPECT_EQ(cluster_.agent->status().config_revision, 12u);
    EXPECT_EQ(entry_->hellos.back().config_revision(), 12u);
}

// Guards against an agent that keeps its state after the keepers have expired its registration.
TEST_F(agent_core_test, expired_registration_drops_state_and_registers_again)
{
    start_tasks("job", 3);
    cluster_.expire_next_renewal = true;
    cluster_.run_for(absl::Seconds(6));
    EXPECT_EQ(cluster_.endpoint.stopped_run_ids.size(), 2u);
    EXPECT_EQ(cluster_.agent->status().incarnation, 51u);
    EXPECT_EQ(cluster_.agent->status().start_records, 0u);
    ASSERT_EQ(cluster_.process_nonces.size(), 2u);
    EXPECT_NE(cluster_.process_nonces[0], cluster_.process_nonces[1]);
    start(make_start("new"));
    EXPECT_EQ(run_count(), 2u) << "the slots are still occupied";
    end_run(0);
    EXPECT_EQ(run_count(), 3u);
    EXPECT_TRUE(entry_->results.empty());
}

// Guards against a start that the successor of a dead entry cannot find: inquiries do not go to
// agents whose registration has expired at the keepers.
TEST_F(agent_core_test, registration_not_renewed_for_15_s_refuses_starts)
{
    const std::vector<base::node_name> keepers{base::node_name("k0"), base::node_name("k1"),
                                               base::node_name("k2")};
    for (const auto& keeper : keepers)
    {
        cluster_.network.isolate(keeper);
    }
    cluster_.run_for(absl::Seconds(16));
    start(make_start("cut-off"));
    EXPECT_EQ(run_count(), 0u);
    ASSERT_EQ(entry_->results.size(), 1u);
    EXPECT_EQ(entry_->results[0].outcome(), schema::task_not_started);
    cluster_.network.mend_all();
    cluster_.run_for(absl::Seconds(4));
    start(make_start("back"));
    EXPECT_EQ(run_count(), 1u);
}

// Guards against renewals that stop when a keeper does not reply.
TEST_F(agent_core_test, unresponsive_keeper_makes_renewals_use_the_next)
{
    const auto requests_before = cluster_.keeper_requests.size();
    cluster_.network.isolate(base::node_name("k0"));
    cluster_.network.isolate(base::node_name("k2"));
    cluster_.run_for(absl::Seconds(30));
    const auto renewals = cluster_.keeper_requests.size() - requests_before;
    EXPECT_GE(renewals, 5u);
    EXPECT_LE(renewals, 6u);
}

// Guards against a drain that interrupts runs, loses results or accepts new starts.
TEST_F(agent_core_test, drain_finishes_runs_delivers_results_and_leaves)
{
    start_tasks("job", 3);
    cluster_.agent->begin_drain();
    start(make_start("new"));
    EXPECT_THAT(outcomes(), ElementsAre(schema::task_not_started, schema::task_not_started));
    EXPECT_TRUE(entry_->hellos.back().draining());
    cluster_.run_for(absl::Seconds(5));
    EXPECT_TRUE(cluster_.endpoint.stopped_run_ids.empty());
    EXPECT_FALSE(cluster_.agent->is_drained());
    cluster_.network.cut(base::node_name("agent"), entry_->name);
    cluster_.end_run(0);
    cluster_.end_run(1);
    cluster_.run_for(absl::Seconds(1));
    EXPECT_FALSE(cluster_.agent->is_drained()) << "drained before its results were acknowledged";
    cluster_.network.mend_all();
    cluster_.run_for(absl::Seconds(4));
    EXPECT_EQ(outcomes().size(), 4u);
    EXPECT_TRUE(cluster_.agent->is_drained());
    EXPECT_EQ(cluster_.keeper_requests.back(), "leave");
}

// Guards against start records that are kept after the release of their job, or dropped before it.
TEST_F(agent_core_test, release_drops_start_records)
{
    start_tasks("job", 2);
    end_run(0);
    EXPECT_EQ(cluster_.agent->status().start_records, 2u);
    schema::session_item item;
    item.mutable_release()->set_submission_id("job");
    cluster_.send_item(*entry_, item);
    deliver_messages();
    EXPECT_EQ(cluster_.agent->status().start_records, 1u) << "one task is still running";
    end_run(1);
    EXPECT_EQ(cluster_.agent->status().start_records, 0u);
    EXPECT_EQ(cluster_.agent->status().result_bytes, 0u);
}

} // namespace
} // namespace savoryreach::agent
