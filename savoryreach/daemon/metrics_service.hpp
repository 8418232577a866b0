#ifndef SAVORYREACH_DAEMON_METRICS_SERVICE_HPP
#define SAVORYREACH_DAEMON_METRICS_SERVICE_HPP

#include "savoryreach/daemon/http_service.hpp"

#include <functional>
#include <optional>
#include <string>

namespace savoryreach::daemon
{

/// Serves GET /metrics in the Prometheus text exposition format on a separate address.
class metrics_service
{
public:
    metrics_service(boost::asio::io_context& io, std::function<std::string()> make_text);

    /// Listens on "ip:port". Returns an error text on failure.
    [[nodiscard]] std::optional<std::string> listen(const std::string& address)
    {
        return service_.listen(address);
    }
    void stop() { service_.stop(); }

private:
    std::function<std::string()> make_text_;
    http_service service_;
};

} // namespace savoryreach::daemon

#endif
