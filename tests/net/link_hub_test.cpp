#include "savoryreach/net/link_hub.hpp"

#include "tests/simulation/virtual_clock.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace savoryreach::net
{
namespace
{

/// Returns a loopback address with a free port: test processes run in parallel.
std::string free_address()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// Two hubs on one event loop over loopback; the clock advances only when a test advances it.
class link_hub_test : public ::testing::Test
{
protected:
    link_hub_test()
    {
        EXPECT_EQ(server_.start(), std::nullopt);
        EXPECT_EQ(client_.start(), std::nullopt);
        server_.tick();
        client_.tick();
    }

    link_hub::callbacks record_events(std::vector<std::string>& events)
    {
        return {.up = [&events](const link_peer& it) { events.push_back("up " + it.name); },
                .received = [&events](const link_peer& it, const schema::envelope&)
                { events.push_back("message " + it.name); },
                .down =
                    [&events](const link_peer& it, const std::string&)
                {
                    events.push_back("down " + it.name);
                }};
    }
    /// Runs the loop until \p events has \p n entries, for a second at most.
    void run_until(const std::vector<std::string>& events, std::size_t n)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
        while (events.size() < n && std::chrono::steady_clock::now() < end)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
    }

    const std::string listen_address_ = free_address();
    boost::asio::io_context io_;
    simulation::virtual_clock clock_;
    observe::hybrid_clock hybrid_{clock_};
    std::vector<std::string> server_events_;
    std::vector<std::string> client_events_;
    link_hub server_{io_,
                     {"server", "front", listen_address_, "", true},
                     record_events(server_events_),
                     clock_,
                     hybrid_};
    link_hub client_{
        io_, {"client", "agent", "", "", false}, record_events(client_events_), clock_, hybrid_};
};

TEST_F(link_hub_test, wanted_address_is_linked_and_messages_pass)
{
    client_.want({listen_address_});
    run_until(server_events_, 1);
    run_until(client_events_, 1);
    EXPECT_EQ(client_events_, std::vector<std::string>{"up server"});
    EXPECT_TRUE(server_.is_linked("client"));
    schema::envelope message;
    message.mutable_core_view()->set_term(1);
    client_.send(base::node_name("server"), message);
    run_until(server_events_, 2);
    EXPECT_EQ(server_events_, (std::vector<std::string>{"up client", "message client"}));
}

TEST_F(link_hub_test, silent_link_is_closed)
{
    client_.want({listen_address_});
    run_until(server_events_, 1);
    for (int n = 0; n < 5; ++n)
    {
        clock_.advance(absl::Milliseconds(400));
        server_.tick();
    }
    ASSERT_EQ(server_events_.size(), 2U);
    EXPECT_EQ(server_events_[1], "down client");
}

// A process that was suspended must not process messages left in its socket buffers.
TEST_F(link_hub_test, message_after_a_suspension_is_dropped_with_its_link)
{
    client_.want({listen_address_});
    run_until(server_events_, 1);
    run_until(client_events_, 1);
    schema::envelope message;
    message.mutable_core_view()->set_term(1);
    client_.send(base::node_name("server"), message);
    clock_.advance(absl::Seconds(4));
    run_until(server_events_, 2);
    EXPECT_EQ(server_events_, (std::vector<std::string>{"up client", "down client"}));
}

/// A message of about \p bytes.
schema::envelope message_of(std::size_t bytes)
{
    schema::envelope out;
    out.mutable_append_request()
        ->add_entries()
        ->mutable_command()
        ->mutable_fleet_config()
        ->set_document(std::string(bytes, 'x'));
    return out;
}

// The leader of the core would send the same entry over and over and lose its links each time.
TEST_F(link_hub_test, message_larger_than_the_send_queue_passes)
{
    client_.want({listen_address_});
    run_until(server_events_, 1);
    run_until(client_events_, 1);
    client_.send(base::node_name("server"), message_of(20UL * 1024 * 1024));
    run_until(server_events_, 2);
    EXPECT_EQ(server_events_, (std::vector<std::string>{"up client", "message client"}));
}

TEST_F(link_hub_test, message_larger_than_a_frame_closes_the_link_only)
{
    client_.want({listen_address_});
    run_until(server_events_, 1);
    run_until(client_events_, 1);
    client_.send(base::node_name("server"), message_of(max_frame_bytes + 1));
    run_until(client_events_, 2);
    EXPECT_EQ(client_events_, (std::vector<std::string>{"up server", "down server"}));
}

} // namespace
} // namespace savoryreach::net
