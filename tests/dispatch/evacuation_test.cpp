#include "savoryreach/dispatch/evacuation_orders.hpp"
#include "tests/dispatch/fleet_world.hpp"

#include <gtest/gtest.h>

namespace savoryreach::dispatch
{
namespace
{

using kinds = std::vector<schema::answer_kind>;

schema::log_entry entry_of(const std::string& data_centre, bool ends)
{
    schema::log_entry out;
    auto& change = *out.mutable_command()->mutable_evacuation_change();
    change.set_data_centre(data_centre);
    change.set_ends(ends);
    return out;
}

class evacuation_store : public ::testing::Test
{
protected:
    void begin(const std::string& data_centre) { store_.apply(entry_of(data_centre, false)); }
    void finish(const std::string& data_centre) { store_.apply(entry_of(data_centre, true)); }

    fleet_store store_;
};

TEST_F(evacuation_store, changes_in_log_order_leave_the_last_state)
{
    begin("a");
    begin("b");
    begin("a");
    finish("a");
    finish("c");
    EXPECT_EQ(store_.evacuated(), (absl::btree_set<std::string>{"b"}));
}

TEST_F(evacuation_store, snapshot_replaces_what_another_store_held)
{
    begin("a");
    begin("b\xff");
    schema::ledger_snapshot snapshot;
    store_.save(snapshot);
    fleet_store other;
    other.apply(entry_of("c", false));
    ASSERT_TRUE(other.load(snapshot));
    EXPECT_EQ(other.evacuated(), store_.evacuated());
}

class evacuation_decisions : public ::testing::Test
{
protected:
    /// An order that its front holds for another \p remaining and has confirmed \p age ago.
    [[nodiscard]] evacuation_order order(std::uint64_t number, bool ends,
                                         absl::Duration age = absl::ZeroDuration(),
                                         absl::Duration remaining = absl::Milliseconds(900)) const
    {
        return {{"f", number}, "a", ends, now_ - age + remaining, now_ - age};
    }
    [[nodiscard]] order_step decide(const evacuation_order& it) const
    {
        return orders_.decide(it, store_, now_);
    }

    absl::Time now_ = absl::FromUnixSeconds(1000);
    fleet_store store_;
    evacuation_orders orders_;
};

// A copy that was in transit for a second undid the operator's next order.
TEST_F(evacuation_decisions, copy_of_an_order_is_taken_only_if_its_front_holds_it)
{
    EXPECT_EQ(decide(order(1, false, absl::InfiniteDuration())), order_step::drop);
    auto first = order(1, false);
    first.stamped_at = absl::InfinitePast();
    EXPECT_EQ(decide(first), order_step::confirm);
    EXPECT_EQ(decide(order(1, false, absl::Milliseconds(50))), order_step::propose);
    EXPECT_EQ(decide(order(1, false, absl::Milliseconds(500))), order_step::confirm);
    EXPECT_EQ(decide(order(1, false, absl::Milliseconds(901))), order_step::drop);
    EXPECT_EQ(decide(order(1, false, absl::Milliseconds(5), absl::ZeroDuration())),
              order_step::drop);
}

TEST_F(evacuation_decisions, order_for_the_state_in_force_is_acknowledged_at_once)
{
    EXPECT_EQ(decide(order(1, true)), order_step::acknowledge);
    store_.apply(entry_of("a", false));
    EXPECT_EQ(decide(order(2, false)), order_step::acknowledge);
    EXPECT_EQ(decide(order(3, true)), order_step::propose);
}

TEST_F(evacuation_decisions, same_orders_share_one_entry)
{
    orders_.on_proposed(order(1, false), 10);
    for (const std::uint64_t number : {1, 2, 2})
    {
        ASSERT_EQ(decide(order(number, false)), order_step::await);
        orders_.on_awaited(order(number, false));
    }
    EXPECT_TRUE(orders_.on_applied(9).empty());
    EXPECT_EQ(orders_.on_applied(10), (std::vector<request_ref>{{"f", 1}, {"f", 2}}));
}

// Two operators: the state in force is the wanted one, but a contrary change is about to replace
// it.
TEST_F(evacuation_decisions, order_behind_a_contrary_one_is_not_acknowledged_before_its_entry)
{
    orders_.on_proposed(order(1, false), 10);
    ASSERT_EQ(decide(order(2, true)), order_step::propose);
    orders_.on_proposed(order(2, true), 11);
    ASSERT_EQ(decide(order(3, false)), order_step::propose);
    orders_.on_proposed(order(3, false), 12);
    EXPECT_EQ(orders_.on_applied(11), (std::vector<request_ref>{{"f", 1}, {"f", 2}}));
    EXPECT_EQ(orders_.on_applied(12), (std::vector<request_ref>{{"f", 3}}));
}

class sent_orders final : public request_port
{
public:
    void send_request(const std::string& /*dispatcher*/, schema::front_request request) override
    {
        requests.push_back(std::move(request));
    }

    std::vector<schema::front_request> requests;
};

class evacuation_front : public ::testing::Test
{
protected:
    evacuation_front()
    {
        front_.set_dispatcher(dispatcher_ref{"d", 2});
        schema::front_request request;
        request.mutable_evacuation()->set_data_centre("a");
        number_ =
            front_.add(request, clock_.now() + absl::Milliseconds(900),
                       [this](const schema::front_answer& it) { answers_.push_back(it.kind()); });
    }
    void ask(std::uint64_t term)
    {
        schema::front_answer question;
        question.set_number(number_);
        question.set_term(term);
        question.set_kind(schema::answer_confirm);
        question.set_stamp_us(77);
        front_.on_answer(question);
    }

    simulation::virtual_clock clock_;
    sent_orders port_;
    observe::null_event_sink sink_;
    observe::metrics metrics_;
    request_forwarder front_{clock_, port_, sink_, metrics_, 0};
    std::uint64_t number_ = 0;
    kinds answers_;
};

TEST_F(evacuation_front, held_order_is_confirmed_with_the_time_left)
{
    clock_.advance(absl::Milliseconds(300));
    ask(2);
    ASSERT_EQ(port_.requests.size(), 2U);
    EXPECT_EQ(port_.requests[0].remaining_ms(), 900U);
    EXPECT_EQ(port_.requests[0].confirmed_stamp_us(), 0);
    EXPECT_EQ(port_.requests[1].remaining_ms(), 600U);
    EXPECT_EQ(port_.requests[1].confirmed_stamp_us(), 77);
    ask(1); // of an earlier dispatcher
    EXPECT_EQ(port_.requests.size(), 2U);
    EXPECT_TRUE(answers_.empty());
}

TEST_F(evacuation_front, order_without_its_operator_is_not_confirmed)
{
    front_.abandon(number_);
    port_.requests.clear();
    ask(2);
    EXPECT_TRUE(port_.requests.empty());
}

class evacuated_fleet : public ::testing::Test
{
protected:
    evacuated_fleet() { world_.run(absl::Seconds(3)); }
    ~evacuated_fleet() override
    {
        for (const auto& it : world_.monitor().violations())
        {
            ADD_FAILURE() << it;
        }
    }
    /// Orders the change and expects its acknowledgement.
    void change(const std::string& data_centre, bool ends)
    {
        const auto before = world_.evacuation_answers().size();
        world_.order_evacuation(data_centre, ends);
        world_.run(absl::Milliseconds(100));
        ASSERT_EQ(world_.evacuation_answers().size(), before + 1);
        EXPECT_EQ(world_.evacuation_answers().back(), schema::answer_done);
    }
    /// Load that takes \p share of the nine endpoints.
    static std::vector<job_kind> load_of(double share)
    {
        return {{"/hold/", 8, 60, 40.0 * share},
                {"/long/", 4, 900, 7.0 * share},
                {"/short/", 2, 200, 110.0 * share}};
    }

    fleet_world world_{9, 21};
};

// Tasks started, and failed ones started again, on the endpoints of a data centre that an operator
// was about to switch off.
TEST_F(evacuated_fleet, no_task_starts_in_the_data_centre_and_all_jobs_end)
{
    world_.load(load_of(0.35), absl::Seconds(8));
    world_.endpoint_at(0).settings().failing = 0.3;
    world_.run(absl::Seconds(2));
    EXPECT_GT(world_.starts_in("dc-1"), 0U);
    change("dc-1", false);
    const auto starts = world_.starts_in("dc-1");
    world_.run(absl::Seconds(4));
    EXPECT_EQ(world_.starts_in("dc-1"), starts);
    EXPECT_EQ(world_.active_dispatcher().endpoints_by_state().at("evacuated"), 3U);
    change("dc-1", true);
    world_.run(absl::Milliseconds(300));
    EXPECT_GT(world_.starts_in("dc-1"), starts);
    world_.run(absl::Seconds(6));
    const auto sent = world_.count(0, 99, std::nullopt);
    EXPECT_GE(world_.count(0, 99, schema::answer_completed) * 100, sent * 98);
}

TEST_F(evacuated_fleet, next_dispatcher_obeys)
{
    change("dc-2", false);
    world_.load(load_of(0.4), absl::Seconds(6));
    world_.change_dispatcher(absl::Milliseconds(700));
    world_.run(absl::Seconds(8));
    EXPECT_EQ(world_.starts_in("dc-2"), 0U);
    EXPECT_GT(world_.starts_in("dc-1"), 0U);
}

// Load pattern: two thirds of the endpoints are evacuated under a load that needs six tenths of
// all. Jobs that the rest can't do in time are refused at once, and hardly any when the others are
// back.
TEST_F(evacuated_fleet, admission_follows_the_usable_endpoints_at_once)
{
    world_.load(load_of(0.6), absl::Seconds(16));
    world_.run(absl::Seconds(3));
    EXPECT_LE(world_.count(4, 6, schema::answer_refused) * 100, world_.count(4, 6, std::nullopt));
    change("dc-0", false);
    change("dc-1", false);
    world_.run(absl::Seconds(4));
    const auto accepted = world_.count(7, 9, schema::answer_completed);
    EXPECT_GT(world_.count(6.2, 7, schema::answer_refused), 0U);
    EXPECT_GE(world_.count(7, 9, schema::answer_completed, true) * 100, accepted * 75);
    change("dc-0", true);
    change("dc-1", true);
    world_.run(absl::Seconds(10));
    const auto sent = world_.count(11, 19, std::nullopt);
    EXPECT_LE(world_.count(11, 19, schema::answer_refused) * 100, sent);
    EXPECT_GE(world_.count(11, 19, schema::answer_completed, true) * 100, sent * 95);
}

TEST_F(evacuated_fleet, jobs_are_refused_at_once_while_all_data_centres_are_evacuated)
{
    for (const char* it : {"dc-0", "dc-1", "dc-2"})
    {
        change(it, false);
    }
    world_.load(load_of(0.2), absl::Seconds(1));
    world_.run(absl::Seconds(2));
    EXPECT_GT(world_.jobs().size(), 10U);
    for (const auto& [id, it] : world_.jobs())
    {
        EXPECT_EQ(it.answer, schema::answer_refused);
        EXPECT_LT(it.answered_at - it.sent_at, absl::Milliseconds(50));
    }
    EXPECT_EQ(world_.monitor().starts(), 0U);
    change("dc-1", true);
    world_.submit({"/short/", 2, 200, 1.0});
    world_.run(absl::Seconds(2));
    EXPECT_EQ(world_.count(0, 99, schema::answer_completed), 1U);
}

// The same order reaches the dispatcher over a front that has given it up, after a contrary one.
TEST_F(evacuated_fleet, copy_that_arrives_after_its_front_has_answered_changes_nothing)
{
    schema::front_request copy;
    copy.set_number(1000);
    copy.set_term(1);
    copy.mutable_evacuation()->set_data_centre("dc-1");
    copy.set_remaining_ms(400);
    change("dc-1", false);
    change("dc-1", true);
    world_.active_dispatcher().on_front_request("gone", copy);
    world_.run(absl::Milliseconds(500));
    EXPECT_EQ(world_.active_dispatcher().endpoints_by_state().at("evacuated"), 0U);
}

} // namespace
} // namespace savoryreach::dispatch
