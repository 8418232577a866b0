#include "savoryreach/daemon/http_server.hpp"

#include "savoryreach/daemon/thread_per_connection.hpp"
#include "savoryreach/net/address.hpp"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <chrono>

namespace savoryreach::daemon
{
namespace
{

/// Time for a caller to send its headers and body.
constexpr int read_timeout_s = 5;
/// Idle time after which a persistent connection is closed.
constexpr int keep_alive_timeout_s = 30;
/// Bound on connections that wait to be accepted; the kernel also applies net.core.somaxconn.
constexpr int listen_backlog = 4'096;
constexpr auto in_progress_poll = std::chrono::milliseconds(5);

/// True while the request on this thread is included in in_progress_. The library also calls the
/// logger for a malformed request, which it has not routed and which is therefore not included.
thread_local bool is_counted = false;

} // namespace

http_server::http_server(http_limits limits)
{
    server_.new_task_queue = [n = limits.max_connections]
    {
        return new thread_per_connection(n);
    };
    server_.set_payload_max_length(limits.max_body_bytes);
    server_.set_read_timeout(read_timeout_s, 0);
    server_.set_keep_alive_timeout(keep_alive_timeout_s);
    server_.set_keep_alive_max_count(SIZE_MAX);
    server_.set_tcp_nodelay(true);
    server_.set_socket_options(
        [this](int listening)
        {
            listening_ = listening;
            const int on = 1;
            ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
    server_.set_pre_routing_handler(
        [this](const httplib::Request&, httplib::Response&)
        {
            ++in_progress_;
            is_counted = true;
            return httplib::Server::HandlerResponse::Unhandled;
        });
    // The logger runs after the response has been written to the socket.
    server_.set_logger(
        [this](const httplib::Request&, const httplib::Response&)
        {
            in_progress_ -= is_counted ? 1 : 0;
            is_counted = false;
        });
}

http_server::~http_server()
{
    stop();
}

void http_server::add_health_pages(health_pages pages)
{
    pages_ = std::move(pages);
    server_.Get("/healthz", [](const httplib::Request&, httplib::Response& res)
                { res.set_content("ok\n", "text/plain"); });
    server_.Get("/readyz",
                [this](const httplib::Request&, httplib::Response& res)
                {
                    const bool ready = pages_.is_ready();
                    res.status = ready ? 200 : 503;
                    res.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
                });
    server_.Get("/metrics", [this](const httplib::Request&, httplib::Response& res)
                { res.set_content(pages_.metrics(), "text/plain; version=0.0.4"); });
}

std::optional<base::reason> http_server::start(const std::string& address)
{
    const auto endpoint = net::parse_address(address);
    if (!endpoint || !server_.bind_to_port(endpoint->address().to_string().c_str(),
                                           static_cast<int>(endpoint->port())))
    {
        return base::reason{base::error_kind::unreachable,
                            absl::StrCat("cannot listen for HTTP on ", address)};
    }
    // With the library's backlog of 5, a burst of connections overflows the queue, and TCP retries
    // only after 1 s. A second listen() on the same socket changes only the backlog.
    ::listen(listening_, listen_backlog);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return std::nullopt;
}

void http_server::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    // Server::stop() does not wait for handlers.
    while (in_progress_ > 0)
    {
        std::this_thread::sleep_for(in_progress_poll);
    }
    server_.stop();
    thread_.join();
}

} // namespace savoryreach::daemon
