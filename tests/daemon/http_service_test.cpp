#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/http_pool.hpp"
#include "savoryreach/daemon/http_service.hpp"
#include "savoryreach/net/address.hpp"
#include "tests/net/no_descriptors.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <random>
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

// One byte at a time, the start of the last chunk failed an assertion of the parser.
TEST_F(http_service_calls, last_chunk_byte_by_byte_is_served)
{
    auto slow = connect("POST /ok HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char it : std::string("1\r\nx\r\n0\r\na: b\r\n\r\n"))
    {
        run(std::chrono::milliseconds(5));
        slow.send(boost::asio::buffer(&it, 1));
    }
    run(std::chrono::milliseconds(100));
    EXPECT_GT(slow.available(), 0U);
}

TEST_F(http_service_calls, trailers_without_end_are_answered_431)
{
    auto sender =
        connect("POST /ok HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    const std::string trailer = "a: " + std::string(1000, 'b') + "\r\n";
    boost::system::error_code ec;
    for (int n = 0; n < 30 && sender.available() == 0 && !ec; ++n)
    {
        sender.send(boost::asio::buffer(trailer), 0, ec);
        run(std::chrono::milliseconds(10));
    }
    std::array<char, 12> status{};
    sender.receive(boost::asio::buffer(status), 0, ec);
    EXPECT_EQ(std::string(status.data(), status.size()), "HTTP/1.1 431");
}

// Requests are refused, not passed on, beyond the memory of the service; it is free again
// afterwards.
TEST_F(http_service_calls, bodies_beyond_the_memory_of_the_service_are_answered_503)
{
    service_.limit_memory(100'000);
    const std::string request = "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" +
                                std::string(20'000, ' ');
    auto first = connect(request);
    run(std::chrono::milliseconds(50));
    auto second = connect(request);
    run(std::chrono::milliseconds(50));
    ASSERT_EQ(waiting_.size(), 1U);
    EXPECT_LE(service_.kept_memory(), 100'000U);
    std::array<char, 12> status{};
    ASSERT_GT(second.available(), 0U);
    second.receive(boost::asio::buffer(status));
    EXPECT_EQ(std::string(status.data(), status.size()), "HTTP/1.1 503");
    waiting_.clear();
    first.close();
    second.close();
    run(std::chrono::milliseconds(50));
    const auto served = call("/ok");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, status_ok);
}

/// Requests with parts left out, repeated and changed, in pieces of random sizes.
/// SAVORYREACH_REQUEST_RUNS sets their number, SAVORYREACH_REQUEST_SEED the first one.
TEST_F(http_service_calls, mutated_requests_keep_bounded_memory)
{
    const auto number_of = [](const char* name, std::uint64_t fallback)
    {
        const char* text = std::getenv(name);
        return text == nullptr ? fallback : std::stoull(text);
    };
    // Each byte of a header of 16 KiB a field of its own, its buffer and the body with a copy.
    service_.set_limits({.body_bytes = 4096, .header_timeout_ms = 200, .idle_timeout_ms = 200});
    constexpr std::size_t max_kept = 640UL * 1024;
    const std::vector<std::string> parts = {"POST /ok HTTP/1.1\r\n",
                                            "GET /wait HTTP/1.1\r\n",
                                            "Host: a\r\n",
                                            "a:\r\n",
                                            "Transfer-Encoding: chunked\r\n",
                                            "Content-Length: 100\r\n",
                                            "Expect: 100-continue\r\n",
                                            "\r\n",
                                            "5\r\n",
                                            "hello",
                                            "0\r\n",
                                            "0;a=b\r\n",
                                            "00000000",
                                            "ffffffff\r\n",
                                            ";x",
                                            "\r",
                                            "\n",
                                            "Connection: close\r\n",
                                            std::string(3000, 'x'),
                                            "a: b\r\n"};
    const auto first = number_of("SAVORYREACH_REQUEST_SEED", 1);
    const auto runs = number_of("SAVORYREACH_REQUEST_RUNS", 300);
    std::size_t most = 0;
    for (auto seed = first; seed < first + runs; ++seed)
    {
        std::mt19937_64 random(seed);
        std::string text = random() % 2 == 0 ? parts[0] + parts[2] + parts[4] + parts[7] : parts[0];
        for (auto n = random() % 60; n > 0; --n)
        {
            const auto& part = parts[random() % parts.size()];
            for (auto k = random() % 8 == 0 ? random() % 400 : 1; k > 0 && text.size() < 100'000;
                 --k)
            {
                text += part;
            }
        }
        for (auto n = random() % 4; n > 0 && !text.empty(); --n)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        auto sender = connect();
        const auto piece = random() % 3 == 0 ? 1 : 1 + random() % 5000;
        boost::system::error_code ec;
        for (std::size_t at = 0; at < text.size() && at < 400 * piece && !ec; at += piece)
        {
            sender.send(boost::asio::buffer(text.substr(at, piece)), 0, ec);
            io_.restart();
            io_.poll();
            most = std::max(most, service_.kept_memory());
        }
        sender.close(ec);
        waiting_.clear();
        io_.restart();
        io_.poll();
        ASSERT_LE(most, max_kept) << "seed " << seed;
    }
    run(std::chrono::milliseconds(400));
    EXPECT_EQ(service_.kept_memory(), 0U);
    RecordProperty("most_kept_bytes", std::to_string(most));
    const auto served = call("/ok");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, status_ok);
}

} // namespace
} // namespace savoryreach::daemon
