#ifndef SAVORYREACH_DAEMON_HTTP_SERVER_HPP
#define SAVORYREACH_DAEMON_HTTP_SERVER_HPP

#include "savoryreach/base/error.hpp"

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace savoryreach::daemon
{

struct http_limits
{
    std::size_t max_connections = 64;
    std::size_t max_body_bytes = 1024UL * 1024;
};

/// Functions that supply the content of a daemon's standard pages.
struct health_pages
{
    std::function<bool()> is_ready;       ///< for /readyz
    std::function<std::string()> metrics; ///< for /metrics
};

/// The HTTP server of a daemon. The owner adds handlers and the health pages before start(). The
/// server counts the requests in progress so that a shutdown can wait for them.
class http_server
{
public:
    explicit http_server(http_limits limits);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    httplib::Server& routes() { return server_; }
    /// Adds /healthz, /readyz and /metrics.
    void add_health_pages(health_pages pages);

    /// Listens on "ip:port". Returns the reason on failure.
    [[nodiscard]] std::optional<base::reason> start(const std::string& address);
    /// Waits until no request is in progress, then closes the listener and all connections.
    void stop();

    [[nodiscard]] int requests_in_progress() const { return in_progress_; }

private:
    httplib::Server server_;
    health_pages pages_;
    int listening_ = -1;              ///< the listening socket, owned by server_
    std::atomic<int> in_progress_{0}; ///< requests whose response is not written yet
    std::thread thread_;
};

} // namespace savoryreach::daemon

#endif
