#ifndef SAVORYREACH_DAEMON_HTTP_POOL_HPP
#define SAVORYREACH_DAEMON_HTTP_POOL_HPP

#include "savoryreach/base/clock.hpp"

#include <absl/time/time.h>

#include <utility>

#include <boost/asio.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

struct http_reply
{
    int status = 0;
    std::string body;

    friend bool operator==(const http_reply&, const http_reply&) = default;
};

/// An HTTP/1.1 client for one server, with a bounded pool of persistent connections, on an event
/// loop. A connection carries one call at a time. A call that misses its deadline closes its
/// connection.
class http_pool
{
public:
    /// Nullopt means that no reply arrived; the server may have processed the call.
    using reply_handler = std::function<void(const std::optional<http_reply>&)>;

    struct request
    {
        std::string method;
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        absl::Time deadline; ///< until the whole reply is received, on the pool's clock
    };

    http_pool(boost::asio::io_context& io, const base::clock& clock, std::string local_ip,
              std::size_t max_connections);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    /// Sends later calls to \p address and closes idle connections to the previous one.
    void set_address(const std::string& address);
    void call(request message, reply_handler on_reply);

private:
    class connection;
    struct queued_call
    {
        request message;
        reply_handler on_reply;
    };

    void start_queued_calls();

    boost::asio::io_context& io_;
    const base::clock& clock_;
    std::string local_ip_;
    std::size_t max_connections_;
    std::string address_;
    std::deque<queued_call> queue_;
    std::vector<std::shared_ptr<connection>> connections_;
};

} // namespace savoryreach::daemon

#endif
