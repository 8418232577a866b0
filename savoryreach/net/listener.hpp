#ifndef SAVORYREACH_NET_LISTENER_HPP
#define SAVORYREACH_NET_LISTENER_HPP

#include "savoryreach/observe/metrics.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savoryreach::net
{

/// Accepts connections at one address until it is closed. A failed accept is followed by a pause:
/// its cause, mostly a lack of descriptors, lasts longer than the next attempt takes.
class listener
{
public:
    struct callbacks
    {
        std::function<void(boost::asio::ip::tcp::socket)> accepted;
        /// Connections can't be accepted for a reason that was not the last one; empty when they
        /// are accepted again.
        std::function<void(const std::string& reason)> failing;
    };

    listener(boost::asio::io_context& io, callbacks handlers);

    /// Listens on "ip:port"; returns an error message, or nullopt on success.
    [[nodiscard]] std::optional<std::string> listen(const std::string& address);
    void close();

    /// Adds the failed attempts by reason.
    void write_metrics(observe::metrics& out, const std::string& service) const;

    /// Pause after a failed accept. Short against the timeouts of callers and links.
    static constexpr std::chrono::milliseconds retry_pause{20};
    /// Time without a failure after which connections count as accepted again.
    static constexpr std::chrono::milliseconds settle_time{1000};

private:
    void accept();
    void accept_after_pause();
    void on_failure(const std::string& reason);
    void on_success();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    callbacks handlers_;
    std::map<std::string, std::uint64_t> failures_; ///< by reason
    std::string failing_reason_;                    ///< empty while connections are accepted
    std::chrono::steady_clock::time_point settled_at_;
};

} // namespace savoryreach::net

#endif
