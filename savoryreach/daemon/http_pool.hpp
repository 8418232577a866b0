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

/// Calls to one HTTP/1.1 server over a few connections that are kept open, on an event loop. A
/// connection carries one call at a time; a call without a reply in time closes its connection.
class http_pool
{
public:
    /// Nullopt: no reply; the call may have been carried out.
    using reply_handler = std::function<void(const std::optional<http_reply>&)>;

    struct request
    {
        std::string method;
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        absl::Time deadline; ///< for the end of the reply, on the pool's clock
    };

    http_pool(boost::asio::io_context& io, const base::clock& clock, std::string local_ip,
              std::size_t max_connections);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    /// Later calls go to \p address; connections to another one are closed.
    void set_address(const std::string& address);
    void call(request it, reply_handler on_reply);

private:
    class connection;
    struct queued
    {
        request what;
        reply_handler on_reply;
    };

    void assign();

    boost::asio::io_context& io_;
    const base::clock& clock_;
    std::string local_ip_;
    std::size_t max_connections_;
    std::string address_;
    std::deque<queued> queue_;
    std::vector<std::shared_ptr<connection>> connections_;
};

} // namespace savoryreach::daemon

#endif
