// Requests as real clients send them, byte by byte on the socket.

#include "savoryreach/daemon/http_service.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace savoryreach::daemon
{
namespace
{

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// A caller of the service on a blocking socket.
class raw_caller
{
public:
    explicit raw_caller(const tcp::endpoint& service) : socket_(io_)
    {
        socket_.connect(service);
        socket_.set_option(tcp::no_delay(true));
        constexpr timeval read_timeout{3, 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
                     sizeof(read_timeout));
    }

    void send(const std::string& text)
    {
        boost::system::error_code ec;
        boost::asio::write(socket_, boost::asio::buffer(text), ec);
    }
    void send_bytewise(const std::string& text)
    {
        for (const char it : text)
        {
            send(std::string(1, it));
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    void end_sending() { socket_.shutdown(tcp::socket::shutdown_send); }
    void reset()
    {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        socket_.close();
    }
    /// Reads until \p text has come \p count times, the service closes, or nothing comes for 3 s.
    std::string receive(const std::string& text, std::size_t count = 1)
    {
        while (!ended_ && occurrences(text) < count)
        {
            char buf[4096];
            const auto n = ::recv(socket_.native_handle(), buf, sizeof(buf), 0);
            ended_ = n <= 0;
            was_reset_ = n < 0;
            received_.append(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
        return received_;
    }
    std::string receive_all() { return receive("\r\n\r\nnever sent"); }
    [[nodiscard]] bool was_reset() const { return was_reset_; }

private:
    [[nodiscard]] std::size_t occurrences(const std::string& text) const
    {
        std::size_t out = 0;
        for (auto at = received_.find(text); at != std::string::npos;
             at = received_.find(text, at + 1))
        {
            ++out;
        }
        return out;
    }

    boost::asio::io_context io_;
    tcp::socket socket_;
    std::string received_;
    bool ended_ = false;
    bool was_reset_ = false;
};

/// Answers "METHOD host path size-of-body." at once; a path with "late" is answered after 100 ms,
/// and "job" in it asks for the caller's departure.
class http_callers : public ::testing::Test
{
protected:
    http_callers()
    {
        tcp::acceptor probe(io_, {boost::asio::ip::address_v4::loopback(), 0});
        endpoint_ = probe.local_endpoint();
        probe.close();
        service_limits limits;
        limits.body_bytes = body_limit;
        service_.set_limits(limits);
        const auto error = service_.listen("127.0.0.1:" + std::to_string(endpoint_.port()));
        EXPECT_FALSE(error) << *error;
    }

    void serve(const http_request& request, const std::shared_ptr<http_exchange>& caller)
    {
        http_response response;
        response.status = request.path == "/error" ? status_bad_request : status_ok;
        response.body = request.method + " " + request.host + " " + request.path + " " +
                        std::to_string(request.body.size()) + ".";
        if (request.path.find("late") == std::string::npos)
        {
            caller->respond(std::move(response));
            return;
        }
        if (request.path.find("job") != std::string::npos)
        {
            caller->on_disconnect([this] { ++departures_; });
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, milliseconds(100));
        timer->async_wait([timer, caller, response](const boost::system::error_code&)
                          { caller->respond(response); });
    }

    /// Runs \p act of a caller on its own thread and the service on this one.
    template <typename Act>
    std::string run(Act act)
    {
        auto result = std::async(std::launch::async,
                                 [&]
                                 {
                                     raw_caller caller(endpoint_);
                                     return act(caller);
                                 });
        while (result.wait_for(milliseconds(0)) != std::future_status::ready)
        {
            io_.run_for(milliseconds(5));
            io_.restart();
        }
        io_.run_for(milliseconds(200));
        io_.restart();
        return result.get();
    }
    std::string answer_to(const std::string& request)
    {
        return run(
            [&](raw_caller& caller)
            {
                caller.send(request);
                return caller.receive(".");
            });
    }

    static constexpr std::size_t body_limit = 200'000;
    boost::asio::io_context io_;
    tcp::endpoint endpoint_;
    int departures_ = 0;
    http_service service_{
        io_,
        {"calls", "X-Deadline"},
        [this](const http_request& request, const std::shared_ptr<http_exchange>& caller)
        {
            serve(request, caller);
        }};
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Such a client waits for the interim answer, mostly for a second, before it sends the body. The
// operator's client gives up after a second.
TEST_F(http_callers, client_that_expects_100_continue_gets_it_before_the_body)
{
    const std::string body(100'000, 'x');
    const auto begun_at = steady_clock::now();
    const auto answer = run(
        [&](raw_caller& caller)
        {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\n"
                        "Content-Length: 100000\r\n\r\n");
            const auto interim = caller.receive("\r\n\r\n");
            EXPECT_TRUE(interim.starts_with("HTTP/1.1 100 Continue\r\n\r\n")) << interim;
            EXPECT_LT(steady_clock::now() - begun_at, milliseconds(500));
            caller.send(body);
            return caller.receive("POST h /a 100000.");
        });
    EXPECT_TRUE(contains(answer, "POST h /a 100000.")) << answer;
}

TEST_F(http_callers, client_that_expects_100_continue_and_sends_the_body_at_once_is_answered)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                        "Content-Length: 3\r\n\r\nabc");
            return caller.receive("POST h /a 3.");
        });
    EXPECT_TRUE(contains(answer, "POST h /a 3.")) << answer;
}

TEST_F(http_callers, body_over_the_limit_is_refused_without_100_continue)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                        "Content-Length: 900000\r\n\r\n");
            return caller.receive("\r\n\r\n");
        });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
}

// Closing with unread bytes resets the connection, and a reset discards the answer at the client.
TEST_F(http_callers, client_that_sends_a_body_over_the_limit_reads_the_refusal)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n");
            for (int n = 0; n < 9; ++n)
            {
                caller.send(std::string(100'000, 'x'));
                std::this_thread::sleep_for(milliseconds(10));
            }
            auto out = caller.receive_all();
            EXPECT_FALSE(caller.was_reset());
            return out;
        });
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
}

TEST_F(http_callers, chunked_body_is_read_whole)
{
    EXPECT_TRUE(
        contains(answer_to("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n5;x=1\r\nabcde\r\n0\r\n\r\n"),
                 "POST h /a 8."));
}

TEST_F(http_callers, request_in_single_bytes_is_read_whole)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send_bytewise("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            return caller.receive("POST h /a 3.");
        });
    EXPECT_TRUE(contains(answer, "POST h /a 3.")) << answer;
}

TEST_F(http_callers, pipelined_requests_are_answered_in_order)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("GET /late1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                        "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
            return caller.receive("GET h /3 0.");
        });
    const auto first = answer.find("GET h /late1 0.");
    const auto second = answer.find("GET h /2 0.");
    const auto third = answer.find("GET h /3 0.");
    EXPECT_TRUE(first < second && second < third && third != std::string::npos) << answer;
}

TEST_F(http_callers, request_of_http_1_0_is_answered_and_the_connection_closed)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("GET /a HTTP/1.0\r\n\r\n");
            auto out = caller.receive_all();
            EXPECT_FALSE(caller.was_reset());
            return out;
        });
    EXPECT_TRUE(contains(answer, "GET  /a 0.")) << answer;
}

TEST_F(http_callers, request_with_connection_close_is_answered_and_the_connection_closed)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("GET /late HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            auto out = caller.receive_all();
            EXPECT_FALSE(caller.was_reset());
            return out;
        });
    EXPECT_TRUE(contains(answer, "GET h /late 0.")) << answer;
}

TEST_F(http_callers, connection_serves_on_after_an_error_answer)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("GET /error HTTP/1.1\r\nHost: h\r\n\r\n");
            caller.receive("GET h /error 0.");
            caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
            return caller.receive("GET h /a 0.");
        });
    EXPECT_TRUE(contains(answer, "GET h /a 0.")) << answer;
}

// The end of a client's sending side alone doesn't say that the client has left.
TEST_F(http_callers, client_that_only_ends_its_sending_side_gets_the_answer)
{
    const auto answer = run(
        [](raw_caller& caller)
        {
            caller.send("POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            caller.end_sending();
            return caller.receive_all();
        });
    EXPECT_TRUE(contains(answer, "POST h /late 3.")) << answer;
}

// A job whose client has left is given up, at the end of the client's sending side already.
TEST_F(http_callers, departure_of_a_client_that_waits_for_a_job_is_told)
{
    run(
        [](raw_caller& caller)
        {
            caller.send("POST /late-job HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            std::this_thread::sleep_for(milliseconds(30));
            caller.end_sending();
            return std::string();
        });
    EXPECT_EQ(departures_, 1);
    run(
        [](raw_caller& caller)
        {
            caller.send("POST /late-job HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
            std::this_thread::sleep_for(milliseconds(30));
            caller.reset();
            return std::string();
        });
    EXPECT_EQ(departures_, 2);
}

TEST_F(http_callers, host_is_read_without_case_and_port)
{
    for (const char* host : {"nony24.example", "Nony24.Example", "NONY24.example:8080"})
    {
        const auto answer = answer_to("GET /a HTTP/1.1\r\nhOsT: " + std::string(host) + "\r\n\r\n");
        EXPECT_TRUE(contains(answer, "GET nony24.example /a 0.")) << answer;
    }
    EXPECT_TRUE(contains(answer_to("GET /a HTTP/1.1\r\nHost: [::1]\r\n\r\n"), "GET [::1] /a 0."));
    EXPECT_TRUE(contains(answer_to("GET /a HTTP/1.1\r\n\r\n"), "GET  /a 0."));
}

TEST_F(http_callers, target_is_read_without_query)
{
    EXPECT_TRUE(contains(answer_to("GET /a?b=/c HTTP/1.1\r\nHost: h\r\n\r\n"), "GET h /a 0."));
}

// A server accepts a whole URL as the target, whose host then replaces the header (RFC
// 9112, 3.2.2).
TEST_F(http_callers, target_that_is_a_url_names_host_and_path)
{
    EXPECT_TRUE(
        contains(answer_to("GET http://H:81/a?b HTTP/1.1\r\nHost: other\r\n\r\n"), "GET h /a 0."));
    EXPECT_TRUE(contains(answer_to("GET http://h HTTP/1.1\r\nHost: h\r\n\r\n"), "GET h / 0."));
}

} // namespace
} // namespace savoryreach::daemon
