#include "savoryreach/net/link_hub.hpp"

#include "tests/simulation/virtual_clock.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace savoryreach::net
{
namespace
{

/// An address that is free now: tests run side by side as processes of their own.
std::string free_address()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// Two hubs on one event loop over loopback; time stands still unless a test moves it.
class hubs : public ::testing::Test
{
protected:
    hubs()
    {
        EXPECT_EQ(server_.start(), std::nullopt);
        EXPECT_EQ(client_.start(), std::nullopt);
        server_.tick();
        client_.tick();
    }

    link_hub::callbacks calls(std::vector<std::string>& seen)
    {
        return {.up = [&seen](const link_peer& it) { seen.push_back("up " + it.name); },
                .received = [&seen](const link_peer& it, const schema::envelope&)
                { seen.push_back("message " + it.name); },
                .down =
                    [&seen](const link_peer& it, const std::string&)
                {
                    seen.push_back("down " + it.name);
                }};
    }
    /// Runs the loop until \p seen has \p n entries, for a second at most.
    void run_until(const std::vector<std::string>& seen, std::size_t n)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
        while (seen.size() < n && std::chrono::steady_clock::now() < end)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
    }

    const std::string listen_address_ = free_address();
    boost::asio::io_context io_;
    simulation::virtual_clock clock_;
    observe::hybrid_clock hybrid_{clock_};
    std::vector<std::string> at_server_;
    std::vector<std::string> at_client_;
    link_hub server_{
        io_, {"server", "front", listen_address_, "", true}, calls(at_server_), clock_, hybrid_};
    link_hub client_{io_, {"client", "agent", "", "", false}, calls(at_client_), clock_, hybrid_};
};

TEST_F(hubs, wanted_address_is_linked_and_messages_pass)
{
    client_.want({listen_address_});
    run_until(at_server_, 1);
    run_until(at_client_, 1);
    EXPECT_EQ(at_client_, std::vector<std::string>{"up server"});
    EXPECT_TRUE(server_.is_linked("client"));
    schema::envelope message;
    message.mutable_core_view()->set_term(1);
    client_.send(base::node_name("server"), message);
    run_until(at_server_, 2);
    EXPECT_EQ(at_server_, (std::vector<std::string>{"up client", "message client"}));
}

TEST_F(hubs, silent_link_is_closed)
{
    client_.want({listen_address_});
    run_until(at_server_, 1);
    for (int n = 0; n < 5; ++n)
    {
        clock_.advance(absl::Milliseconds(400));
        server_.tick();
    }
    ASSERT_EQ(at_server_.size(), 2U);
    EXPECT_EQ(at_server_[1], "down client");
}

// A process that was suspended must not act on what lies in its sockets.
TEST_F(hubs, message_after_a_suspension_is_dropped_with_its_link)
{
    client_.want({listen_address_});
    run_until(at_server_, 1);
    run_until(at_client_, 1);
    schema::envelope message;
    message.mutable_core_view()->set_term(1);
    client_.send(base::node_name("server"), message);
    clock_.advance(absl::Seconds(4));
    run_until(at_server_, 2);
    EXPECT_EQ(at_server_, (std::vector<std::string>{"up client", "down client"}));
}

} // namespace
} // namespace savoryreach::net
