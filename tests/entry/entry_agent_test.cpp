#include "tests/entry/entry_fixture.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

using base::error_kind;

class entry_agent_test : public entry_fixture
{
protected:
    [[nodiscard]] static bool has_event(const entry_node& entry, const std::string& kind)
    {
        return std::ranges::find(entry.events, kind) != entry.events.end();
    }
};

// Guards against a second start of an idempotent task before its first attempt can no longer run,
// and against no second start at all.
TEST_F(entry_agent_test, idempotent_task_of_a_lost_agent_runs_elsewhere_after_the_fence)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto request = submit(entry, make("s", 2, true));
    run(absl::Milliseconds(100));
    ASSERT_EQ(agents["a1"]->starts.size(), 2);
    auto& second = add_agent("a2");
    agents["a1"]->stop();
    run(absl::Milliseconds(4400));
    EXPECT_TRUE(has_event(entry, "agent_suspected"));
    EXPECT_TRUE(second.starts.empty());
    run(absl::Seconds(2));
    EXPECT_TRUE(has_event(entry, "agent_lost"));
    EXPECT_EQ(second.starts.size(), 2);
    EXPECT_EQ(second.starts[0].task.attempt(), 1);
    EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
    EXPECT_EQ(entry.core->status().retries, 2);
}

// Guards against a second start of a task that is not idempotent.
TEST_F(entry_agent_test, non_idempotent_task_of_a_lost_agent_fails_its_job_with_outcome_unknown)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::run;
    const auto request = submit(entry, make("s", 1));
    run(absl::Milliseconds(100));
    auto& second = add_agent("a2");
    agents["a1"]->stop();
    run(absl::Seconds(8));
    EXPECT_TRUE(second.starts.empty());
    EXPECT_EQ(entry.kind_of(request), error_kind::outcome_unknown);
    EXPECT_EQ(entry.answers[request].not_run(), schema::not_run_unknown);
    EXPECT_EQ(entry.answers[request].tasks_started(), 1);
}

// Guards against members that an agent never receives because one reply was lost, and against
// members in every reply: with 8 entries they would be most of the traffic of an idle agent.
TEST_F(entry_agent_test, members_are_sent_to_an_agent_that_lacks_them_and_to_no_other)
{
    start_one();
    const base::node_name agent("a9");
    std::vector<schema::cluster_view> views;
    network.attach(agent,
                   [&](const base::node_name&, const schema::envelope& it)
                   {
                       if (it.has_agent_hello_reply())
                       {
                           views.push_back(it.agent_hello_reply().view());
                       }
                   });
    const auto transport = network.transport_of(agent);
    std::uint64_t known = 0;
    for (int n = 0; n < 20; ++n)
    {
        schema::envelope message;
        message.mutable_agent_hello()->set_agent(agent.value());
        message.mutable_agent_hello()->set_incarnation(1);
        message.mutable_agent_hello()->set_membership_revision(known);
        transport->send(base::node_name("e1"), message);
        run(absl::Milliseconds(100));
        // The agent receives the members only with the third reply.
        known = n >= 2 ? views.back().membership_revision() + known : 0;
    }
    ASSERT_EQ(views.size(), 20);
    for (std::size_t n = 0; n < views.size(); ++n)
    {
        EXPECT_EQ(views[n].entries_size(), n <= 2 ? 1 : 0) << "reply " << n;
    }
}

// Guards against starts that are queued for a lost agent and run when it reconnects, while their
// tasks run elsewhere.
TEST_F(entry_agent_test, reconnected_agent_gets_no_lease_before_it_received_the_old_starts)
{
    auto& entry = start_one();
    const base::node_name e1("e1");
    const base::node_name a1("a1");
    network.cut(e1, a1);
    const auto request = submit(entry, make("s", 1, true));
    run(absl::Milliseconds(300));
    network.cut(a1, e1);
    run(absl::Seconds(8));
    EXPECT_TRUE(has_event(entry, "agent_lost"));
    agents["a1"]->leases.clear();
    agents["a1"]->start_behaviour = fake_agent::behaviour::reject;
    network.mend(a1, e1);
    run(absl::Milliseconds(600));
    network.mend(e1, a1);
    run(absl::Milliseconds(20));
    EXPECT_EQ(agents["a1"]->leases["e1"], 0);
    run(absl::Seconds(3));
    EXPECT_GT(agents["a1"]->leases["e1"], 0);
    agents["a1"]->start_behaviour = fake_agent::behaviour::succeed;
    run(absl::Seconds(2));
    EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
}

// Guards against a job that retries for ever, and against a failure that is reported without its
// reason.
TEST_F(entry_agent_test, job_that_fails_on_three_endpoints_fails)
{
    auto& entry = start_one();
    add_agent("a2");
    add_agent("a3");
    add_agent("a4");
    run(absl::Milliseconds(100));
    for (auto& [name, it] : agents)
    {
        it->start_behaviour = fake_agent::behaviour::fail;
    }
    const auto request = submit(entry, make("s", 1, true));
    run(absl::Seconds(1));
    ASSERT_TRUE(entry.has(request));
    EXPECT_EQ(entry.kind_of(request), error_kind::task_failed);
    EXPECT_EQ(entry.answers[request].reason(), "printer out of paper");
    EXPECT_EQ(entry.answers[request].not_run(), schema::not_run_false);
    EXPECT_EQ(entry.core->status().starts, 3);
}

// Guards against a retry of a task that is not idempotent.
TEST_F(entry_agent_test, failed_task_without_idempotence_is_not_started_again)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::fail;
    const auto request = submit(entry, make("s", 1));
    run(absl::Seconds(1));
    EXPECT_EQ(entry.kind_of(request), error_kind::task_failed);
    EXPECT_EQ(agents["a1"]->starts.size(), 1);
}

// Guards against new starts at a draining agent.
TEST_F(entry_agent_test, draining_agent_gets_no_new_starts)
{
    auto& entry = start_one();
    auto& second = add_agent("a2");
    agents["a1"]->is_draining = true;
    run(absl::Seconds(1));
    const auto request = submit(entry, make("s", 8));
    run(absl::Milliseconds(500));
    EXPECT_TRUE(agents["a1"]->starts.empty());
    EXPECT_EQ(second.starts.size(), 8);
    EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
}

// Guards against a job that waits for a slow agent's queue while another agent is free.
TEST_F(entry_agent_test, unstarted_task_behind_a_straggler_is_recalled)
{
    auto& entry = start_one();
    agents["a1"]->start_behaviour = fake_agent::behaviour::queue;
    const auto request = submit(entry, make("s", 2));
    run(absl::Milliseconds(100));
    ASSERT_EQ(agents["a1"]->starts.size(), 2);
    add_agent("a2");
    agents["a1"]->credit = 0;
    agents["a1"]->is_draining = true;
    run(absl::Seconds(10));
    ASSERT_TRUE(entry.has(request));
    EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
    EXPECT_EQ(agents["a2"]->starts.size(), 2);
}

// Guards against results or starts that are lost with a message.
TEST_F(entry_agent_test, lossy_network_neither_loses_nor_repeats_tasks)
{
    auto& entry = start_one();
    network.faults().loss = 0.2;
    network.faults().duplication = 0.2;
    network.faults().long_delay = 0.1;
    network.faults().max_long_delay = absl::Milliseconds(100);
    std::vector<std::uint64_t> requests(10);
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        requests[n] = submit(entry, make("s" + std::to_string(n), 10), absl::Seconds(60));
    }
    run(absl::Seconds(15));
    for (const auto request : requests)
    {
        ASSERT_TRUE(entry.has(request));
        EXPECT_EQ(entry.answers[request].state(), schema::job_state_complete);
    }
    EXPECT_EQ(agents["a1"]->starts.size(), 100);
}

// Guards against a release that is never sent, and against a separate message for each release.
TEST_F(entry_agent_test, releases_are_sent_together_within_the_release_delay)
{
    auto& entry = start_one();
    schema::declaration retention;
    retention.set_name("retention");
    retention.set_version(1);
    retention.mutable_retention()->set_answer_retention_ms(500);
    keeper.configure(retention);
    for (int n = 0; n < 5; ++n)
    {
        submit(entry, make("s" + std::to_string(n), 1));
        run(absl::Milliseconds(20));
    }
    run(absl::Milliseconds(420));
    const auto before = entry.core->status().frames_sent;
    run(absl::Milliseconds(400));
    EXPECT_EQ(agents["a1"]->released.size(), 5);
    // Five releases, and meanwhile one renewal, one hello and the acknowledgements of the test.
    EXPECT_LE(entry.core->status().frames_sent - before, 4);
}

// Guards against an agent that is never suspected again after it reconnected.
TEST_F(entry_agent_test, reconnected_agent_is_suspected_and_lost_again)
{
    auto& entry = start_one();
    const auto count = [&entry](const std::string& kind)
    {
        return std::ranges::count(entry.events, kind);
    };
    for (int n = 1; n <= 2; ++n)
    {
        network.cut(base::node_name("a1"), base::node_name("e1"));
        run(absl::Seconds(7));
        EXPECT_EQ(count("agent_suspected"), n);
        EXPECT_EQ(count("agent_lost"), n);
        EXPECT_EQ(entry.core->status().agents, 0);
        network.mend_all();
        run(absl::Seconds(1));
        EXPECT_EQ(entry.core->status().agents, 1);
    }
}

// Guards against starts in a distant data centre, and against one slow round trip or a lost agent
// that determines the delay of a data centre.
TEST_F(entry_agent_test, starts_go_to_the_data_centre_with_the_shortest_round_trip)
{
    auto& entry = start_one();
    for (const auto* name : {"a2", "a3", "a4"})
    {
        add_agent(name);
    }
    const auto place = [this](const std::string& name, const std::string& centre, int round_trip_ms)
    {
        agents[name]->data_centre = centre;
        agents[name]->round_trip_us = static_cast<std::uint32_t>(round_trip_ms) * 1000;
    };
    place("a1", "Koper", 40);
    place("a2", "Koper", 30);
    place("a3", "Maribor", 900);
    place("a4", "Maribor", 2);
    run(absl::Seconds(1));
    submit(entry, make("near", 4));
    run(absl::Milliseconds(200));
    EXPECT_EQ(agents["a3"]->count_starts("near") + agents["a4"]->count_starts("near"), 4);
    agents["a4"]->stop();
    run(absl::Seconds(8));
    submit(entry, make("moved", 4));
    run(absl::Milliseconds(200));
    EXPECT_EQ(agents["a1"]->count_starts("moved") + agents["a2"]->count_starts("moved"), 4);
}

// Guards against a session lease that outlives the entry's own lease.
TEST_F(entry_agent_test, session_lease_ends_no_later_than_the_entry_lease)
{
    start_one();
    EXPECT_EQ(agents["a1"]->leases["e1"], 2000);
    keeper.is_silent = true;
    run(absl::Milliseconds(1900));
    EXPECT_LE(agents["a1"]->leases["e1"], 1700);
    run(absl::Seconds(2));
    EXPECT_EQ(agents["a1"]->leases["e1"], 0);
}

} // namespace
} // namespace savoryreach::entry
