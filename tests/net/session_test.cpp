#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/net/session.hpp"
#include "tests/simulation/fake_network.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace savoryreach::net
{
namespace
{

/// Two ends of a session over the fake network; items carry consecutive numbers.
class session_test : public testing::Test
{
protected:
    struct endpoint
    {
        base::node_name name{};
        base::node_name peer{};
        session stream{3, 7};
        std::uint32_t pushed = 0;
        std::vector<std::uint32_t> delivered{};
    };

    void connect(std::uint64_t seed)
    {
        random_ = std::make_unique<base::seeded_random>(seed);
        network_ = std::make_unique<simulation::fake_network>(clock_, *random_);
        for (std::size_t side = 0; side < 2; ++side)
        {
            ends_[side] = endpoint{.name = name_of(side), .peer = name_of(1 - side)};
            network_->attach(name_of(side), [this, side](const auto&, const auto& message)
                             { receive_frame(ends_[side], message.session()); });
        }
    }

    static base::node_name name_of(std::size_t side)
    {
        return base::node_name(side == 0 ? "entry" : "agent");
    }

    void receive_frame(endpoint& end, const schema::session_frame& frame)
    {
        for (const auto& item : end.stream.receive(frame, clock_.now()))
        {
            end.delivered.push_back(item.demand().waiting());
        }
    }

    static void push(endpoint& end)
    {
        schema::session_item item;
        item.mutable_demand()->set_waiting(end.pushed++);
        end.stream.push(std::move(item));
    }

    void step()
    {
        clock_.advance(absl::Milliseconds(1));
        network_->deliver_due();
        for (auto& end : ends_)
        {
            while (auto frame = end.stream.poll(clock_.now()))
            {
                schema::envelope message;
                *message.mutable_session() = *std::move(frame);
                network_->send(end.name, end.peer, std::move(message));
            }
        }
    }

    void run_until_acknowledged(int max_steps)
    {
        while (max_steps-- > 0 &&
               ends_[0].stream.unacknowledged() + ends_[1].stream.unacknowledged() > 0)
        {
            step();
        }
    }

    void expect_all_delivered()
    {
        for (std::size_t side = 0; side < 2; ++side)
        {
            const auto& delivered = ends_[1 - side].delivered;
            ASSERT_EQ(delivered.size(), ends_[side].pushed);
            for (std::uint32_t n = 0; n < delivered.size(); ++n)
            {
                ASSERT_EQ(delivered[n], n);
            }
            EXPECT_EQ(ends_[side].stream.unacknowledged(), 0u);
        }
    }

    simulation::virtual_clock clock_;
    std::unique_ptr<base::seeded_random> random_;
    std::unique_ptr<simulation::fake_network> network_;
    std::array<endpoint, 2> ends_;
};

// Guards against an item that is lost, delivered twice or out of order on a faulty network.
TEST_F(session_test, faulty_network_every_item_arrives_once_in_order)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        connect(seed);
        network_->faults().loss = 0.2;
        network_->faults().duplication = 0.2;
        network_->faults().long_delay = 0.3;
        for (int n = 0; n < 2000; ++n)
        {
            for (auto& end : ends_)
            {
                for (auto burst = random_->below(3) * random_->below(3); burst > 0; --burst)
                {
                    push(end);
                }
            }
            step();
        }
        run_until_acknowledged(600'000);
        expect_all_delivered();
    }
}

// Guards against separate acknowledgement messages while data flows in the other direction.
TEST_F(session_test, steady_data_without_loss_needs_no_extra_messages)
{
    connect(1);
    for (int n = 0; n < 1000; ++n)
    {
        for (auto& end : ends_)
        {
            push(end);
        }
        step();
    }
    run_until_acknowledged(100);
    expect_all_delivered();
    EXPECT_LE(network_->sent(), 2 * 1000 + 4u);
}

// Guards against a deferred item that gets a frame of its own, is overtaken or is never sent.
TEST_F(session_test, deferred_item_joins_a_frame_or_leaves_by_its_deadline)
{
    connect(1);
    schema::session_item item;
    item.mutable_demand()->set_waiting(ends_[0].pushed++);
    ends_[0].stream.push_by(item, clock_.now() + absl::Milliseconds(50));
    step();
    EXPECT_EQ(network_->sent(), 0u);
    push(ends_[0]);
    step();
    EXPECT_EQ(network_->sent(), 1u);
    item.mutable_demand()->set_waiting(ends_[0].pushed++);
    ends_[0].stream.push_by(item, clock_.now() + absl::Milliseconds(50));
    for (int n = 0; n < 49; ++n)
    {
        step();
    }
    EXPECT_EQ(network_->sent(), 1u);
    step();
    EXPECT_EQ(network_->sent(), 2u);
    run_until_acknowledged(100);
    expect_all_delivered();
}

// Guards against unbounded resends to an unreachable peer: the backoff limits the number of frames.
TEST_F(session_test, silent_peer_resends_back_off)
{
    connect(1);
    network_->isolate(name_of(1));
    push(ends_[0]);
    for (int n = 0; n < 20'000; ++n)
    {
        step();
    }
    EXPECT_LE(network_->sent(), 15u);
    network_->rejoin(name_of(1));
    run_until_acknowledged(2'200);
    expect_all_delivered();
}

// Guards against a backlog that is sent as one unbounded frame.
TEST_F(session_test, backlog_is_split_into_bounded_frames)
{
    connect(1);
    for (std::size_t n = 0; n < 2 * session::max_items_per_frame + 1; ++n)
    {
        push(ends_[0]);
    }
    for (const auto expected : {std::size_t{512}, std::size_t{512}, std::size_t{1}})
    {
        const auto frame = ends_[0].stream.poll(clock_.now());
        ASSERT_TRUE(frame.has_value());
        EXPECT_EQ(static_cast<std::size_t>(frame->items_size()), expected);
    }
    EXPECT_FALSE(ends_[0].stream.poll(clock_.now()).has_value());
}

// Guards against items of a predecessor process being taken for those of its successor.
TEST_F(session_test, frame_of_another_incarnation_is_ignored)
{
    connect(1);
    push(ends_[0]);
    auto frame = *ends_[0].stream.poll(clock_.now());
    frame.set_incarnation(8);
    EXPECT_TRUE(ends_[1].stream.receive(frame, clock_.now()).empty());
    frame.set_incarnation(7);
    EXPECT_EQ(ends_[1].stream.receive(frame, clock_.now()).size(), 1u);
}

} // namespace
} // namespace savoryreach::net
