#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/http_pool.hpp"
#include "savoryreach/daemon/http_service.hpp"
#include "savoryreach/net/address.hpp"
#include "tests/net/no_descriptors.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <vector>

namespace savoryreach::daemon
{
namespace
{

/// A service on a port of its own, called over loopback.
class http_service_calls : public ::testing::Test
{
protected:
    http_service_calls()
    {
        // Finds a free port.
        boost::asio::ip::tcp::acceptor probe(io_, {boost::asio::ip::address_v4::loopback(), 0});
        address_ = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        probe.close();
        const auto error = service_.listen(address_);
        EXPECT_FALSE(error) << *error;
        pool_.set_address(address_);
    }

    std::optional<http_reply> call(const std::string& path)
    {
        std::optional<http_reply> out;
        bool done = false;
        pool_.call({"POST", path, "{}", {}, clock_.now() + absl::Seconds(5)},
                   [&](const std::optional<http_reply>& reply)
                   {
                       out = reply;
                       done = true;
                   });
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done && std::chrono::steady_clock::now() < until)
        {
            io_.run_for(std::chrono::milliseconds(20));
            io_.restart();
        }
        return out;
    }

    /// A connection whose connect has been sent, with \p text if there is room for it.
    boost::asio::ip::tcp::socket connect(const std::string& text = "")
    {
        boost::asio::ip::tcp::socket out(io_, boost::asio::ip::tcp::v4());
        out.connect(*net::parse_address(address_));
        out.non_blocking(true);
        out.send(boost::asio::buffer(text));
        return out;
    }
    std::size_t run(std::chrono::milliseconds time)
    {
        io_.restart();
        return io_.run_for(time);
    }
    static bool is_closed(boost::asio::ip::tcp::socket& it)
    {
        std::array<char, 1> buf{};
        boost::system::error_code ec;
        it.receive(boost::asio::buffer(buf), boost::asio::socket_base::message_peek, ec);
        return ec && ec != boost::asio::error::would_block;
    }

    boost::asio::io_context io_;
    base::system_clock clock_;
    std::string address_;
    std::vector<std::shared_ptr<http_exchange>> waiting_; ///< not answered
    http_service service_{
        io_,
        {"calls", "X-Deadline"},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        {
            if (request.path == "/raise")
            {
                throw std::runtime_error("unexpected");
            }
            if (request.path == "/wait")
            {
                waiting_.push_back(exchange);
                return;
            }
            http_response response;
            response.status = status_ok;
            exchange->respond(response);
        }};
    http_pool pool_{io_, clock_, "", 1};
};

// Operators' report: one malformed message or unexpected error took a whole process down.
TEST_F(http_service_calls, error_in_one_request_is_answered_and_ends_nothing_else)
{
    const auto failed = call("/raise");
    ASSERT_TRUE(failed);
    EXPECT_EQ(failed->status, status_internal_error);
    const auto served = call("/ok");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, status_ok);
}

// A front without a free descriptor accepted again at once and used a core.
TEST_F(http_service_calls, accept_without_a_descriptor_pauses_and_goes_on)
{
    boost::asio::ip::tcp::socket waiting(io_, boost::asio::ip::tcp::v4());
    {
        const net::no_descriptors lack;
        waiting.connect(*net::parse_address(address_));
        constexpr std::size_t few = 100;
        EXPECT_LT(run(std::chrono::milliseconds(500)), few);
    }
    const auto served = call("/ok");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, status_ok);
}

TEST_F(http_service_calls, caller_that_sends_nothing_is_closed_after_the_idle_timeout)
{
    service_.set_limits({.idle_timeout_ms = 300});
    auto silent = connect();
    run(std::chrono::milliseconds(100));
    EXPECT_FALSE(is_closed(silent));
    run(std::chrono::milliseconds(600));
    EXPECT_TRUE(is_closed(silent));
}

TEST_F(http_service_calls, caller_that_trickles_is_closed_after_the_header_timeout)
{
    service_.set_limits({.header_timeout_ms = 300});
    auto slow = connect("G");
    boost::system::error_code ec;
    int sent = 0;
    for (; sent < 100 && !is_closed(slow); ++sent)
    {
        run(std::chrono::milliseconds(20));
        slow.send(boost::asio::buffer("E", 1), 0, ec);
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 50);
}

// Callers that held connections left none for others.
TEST_F(http_service_calls, full_service_closes_the_longest_idle_connection_for_a_new_one)
{
    service_.limit_connections(2);
    auto oldest = connect();
    run(std::chrono::milliseconds(50));
    auto newer = connect();
    run(std::chrono::milliseconds(50));
    const auto served = call("/ok");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, status_ok);
    EXPECT_TRUE(is_closed(oldest));
    EXPECT_FALSE(is_closed(newer));
}

TEST_F(http_service_calls, full_service_keeps_requests_that_are_being_served)
{
    service_.limit_connections(2);
    const std::string request = "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    auto first = connect(request);
    auto second = connect(request);
    run(std::chrono::milliseconds(100));
    ASSERT_EQ(waiting_.size(), 2U);
    auto refused = connect();
    run(std::chrono::milliseconds(100));
    EXPECT_TRUE(is_closed(refused));
    EXPECT_FALSE(is_closed(first));
    EXPECT_FALSE(is_closed(second));
    http_response response;
    response.status = status_ok;
    for (const auto& it : waiting_)
    {
        it->respond(response);
    }
    run(std::chrono::milliseconds(100));
    EXPECT_GT(first.available(), 0U);
    EXPECT_GT(second.available(), 0U);
}

} // namespace
} // namespace savoryreach::daemon
