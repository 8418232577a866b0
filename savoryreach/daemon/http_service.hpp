#ifndef SAVORYREACH_DAEMON_HTTP_SERVICE_HPP
#define SAVORYREACH_DAEMON_HTTP_SERVICE_HPP

#include "savoryreach/daemon/connection_slots.hpp"
#include "savoryreach/daemon/memory_shares.hpp"
#include "savoryreach/daemon/rejection_log.hpp"
#include "savoryreach/net/listener.hpp"
#include "savoryreach/net/memory_budget.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <absl/time/time.h>

#include <utility>

#include <boost/asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

/// HTTP status codes that the processes send or evaluate.
enum http_status : int
{
    status_ok = 200,
    status_bad_request = 400,
    status_not_found = 404,
    status_not_allowed = 405,
    status_conflict = 409,
    status_gone = 410,
    status_body_too_large = 413,
    status_misdirected = 421,
    status_too_many = 429,
    status_header_too_large = 431,
    status_internal_error = 500,
    status_unavailable = 503,
    status_gateway_timeout = 504,
};

struct http_request
{
    std::string method;
    std::string path; ///< without a query
    std::string host; ///< in lower case, without a port
    std::string body;
    std::optional<std::uint32_t> deadline_ms; ///< how long the caller waits

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response
{
    int status = 0;
    std::string body;
    std::string content_type = "application/json";
    std::optional<std::uint32_t> retry_after_s;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// One request whose response is pending.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the response. Calls after the first have no effect.
    virtual void respond(http_response response) = 0;
    /// \p callback is called when the caller closes the connection, or its sending side, before the
    /// response. Without a callback a caller that has closed its sending side gets the response.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

struct service_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
    std::uint64_t kept_body_bytes = 64UL * 1024 * 1024; ///< a handler gets no more of a body
    std::uint32_t header_timeout_ms = 3000; ///< from the first byte of a request to its last
    std::uint32_t idle_timeout_ms = 15000;  ///< between requests

    friend auto operator<=>(const service_limits&, const service_limits&) = default;
};

struct http_service_options
{
    std::string name;            ///< in log lines and metrics
    std::string deadline_header; ///< has the caller's deadline, in milliseconds from now

    friend bool operator==(const http_service_options&, const http_service_options&) = default;
};

/// Writes that \p service can't accept connections for \p reason; empty when it can again.
void log_accept_state(const std::string& service, const std::string& reason);

/// An HTTP/1.1 server on an event loop. It serves many connections on one thread, and each read and
/// write has a deadline.
class http_service
{
public:
    using handler = std::function<void(const http_request&, const std::shared_ptr<http_exchange>&)>;

    http_service(boost::asio::io_context& io, http_service_options options, handler serve);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Listens on "ip:port". Returns an error text on failure.
    [[nodiscard]] std::optional<std::string> listen(const std::string& address);
    void set_limits(const service_limits& limits) { limits_ = limits; }
    /// Keeps a number of connections that changes with the limits of the process.
    void limit_connections(std::function<std::size_t()> max_connections)
    {
        max_connections_ = std::move(max_connections);
    }
    /// Without a limit of its own, the service takes what a process has for its callers.
    void limit_connections(std::size_t max_connections)
    {
        max_connections_ = [max_connections]
        {
            return max_connections;
        };
    }
    /// Bytes that connections and their requests may make the process keep.
    void limit_memory(std::size_t bytes) { memory_->set_limit(bytes); }
    /// Later responses carry "Connection: close".
    void drain() { draining_ = true; }
    /// Accepts no more requests: closes the listener and all idle connections.
    void stop_accepting();
    /// Closes the listener and all connections.
    void stop();

    [[nodiscard]] std::size_t kept_memory() const { return memory_->used(); }
    [[nodiscard]] std::size_t open_exchanges() const { return open_exchanges_; }
    void write_metrics(observe::metrics& out) const;

    /// Why a connection was refused a request and closed.
    enum class reject_cause
    {
        memory,    ///< of all connections
        header,    ///< also the headers and trailers of chunks
        body,      ///< longer than the limit
        malformed, ///< not HTTP
    };

private:
    class connection;

    void on_accepted(boost::asio::ip::tcp::socket socket);
    void close_for_room(const std::vector<connection_slots::id>& closed);
    void on_closed(connection_slots::id it);
    /// Asks for the memory of a connection and closes those that make room for it.
    [[nodiscard]] bool request_memory(net::memory_budget::id holder, std::size_t bytes);
    /// Counts and logs it, in a bounded number of lines.
    void on_rejected(reject_cause cause, const boost::asio::ip::tcp::socket& socket);

    http_service_options options_;
    handler serve_;
    rejection_log rejections_;
    service_limits limits_;
    net::listener listener_;
    std::function<std::size_t()> max_connections_;
    std::map<connection_slots::id, std::shared_ptr<connection>> connections_;
    std::map<net::memory_budget::id, connection_slots::id> ids_by_charge_;
    connection_slots slots_;
    /// Shared with the exchanges, which may outlive the service.
    std::shared_ptr<net::memory_budget> memory_ =
        std::make_shared<net::memory_budget>(memory_shares::of(0).clients);
    bool full_ = false; ///< connections were closed for new ones
    bool draining_ = false;
    std::size_t open_exchanges_ = 0;
};

} // namespace savoryreach::daemon

#endif
