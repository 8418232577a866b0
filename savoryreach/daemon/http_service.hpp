#ifndef SAVORYREACH_DAEMON_HTTP_SERVICE_HPP
#define SAVORYREACH_DAEMON_HTTP_SERVICE_HPP

#include <absl/time/time.h>

#include <utility>

#include <boost/asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savoryreach::daemon
{

/// Status codes, as far as the processes answer or understand them.
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
    status_unavailable = 503,
    status_gateway_timeout = 504,
};

struct http_call
{
    std::string method;
    std::string path; ///< without a query
    std::string host; ///< of the Host header, without a port
    std::string body;
    std::optional<std::uint32_t> deadline_ms; ///< how long the caller waits

    friend bool operator==(const http_call&, const http_call&) = default;
};

struct http_answer
{
    int status = 0;
    std::string body;
    std::string content_type = "application/json";
    std::optional<std::uint32_t> retry_after_s;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// One request that waits for its answer.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Answers; only the first call counts.
    virtual void answer(http_answer it) = 0;
    /// \p gone is called when the caller closes the connection before the answer.
    virtual void on_gone(std::function<void()> gone) = 0;
};

struct service_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
    std::uint32_t header_timeout_ms = 3000; ///< for the rest of a request that has begun
    std::uint32_t idle_timeout_ms = 15000;  ///< between requests

    friend auto operator<=>(const service_limits&, const service_limits&) = default;
};

/// An HTTP/1.1 server on an event loop: many connections on one thread, a deadline for each step.
class http_service
{
public:
    using handler = std::function<void(const http_call&, const std::shared_ptr<http_exchange>&)>;

    /// \p name header that carries the caller's deadline, in milliseconds from now.
    http_service(boost::asio::io_context& io, std::string deadline_header, handler serve);
    ~http_service();
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;

    /// Listens at "ip:port"; an error in words, or nullopt.
    [[nodiscard]] std::optional<std::string> listen(const std::string& address);
    void set_limits(const service_limits& limits) { limits_ = limits; }
    /// Answers from now on ask the callers to close their connections.
    void drain() { draining_ = true; }
    /// Takes no more requests: closes the listener and the connections between two requests.
    void stop_accepting();
    /// Closes the listener and all connections.
    void stop();

    [[nodiscard]] std::size_t open_exchanges() const { return open_exchanges_; }

private:
    class connection;

    void accept();

    boost::asio::io_context& io_;
    std::string deadline_header_;
    handler serve_;
    service_limits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<connection>> connections_;
    bool draining_ = false;
    std::size_t open_exchanges_ = 0;
};

} // namespace savoryreach::daemon

#endif
