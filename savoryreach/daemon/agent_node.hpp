#ifndef SAVORYREACH_DAEMON_AGENT_NODE_HPP
#define SAVORYREACH_DAEMON_AGENT_NODE_HPP

#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/decision_log.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/endpoint_agent.hpp"
#include "savoryreach/net/link_hub.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

struct agent_node_options
{
    std::string host;
    std::string ip;
    std::vector<std::string> seeds;
    absl::Duration longest_lease;
};

/// The process beside an endpoint: its links to the core, and the event loop of its agent.
class agent_node final : public dispatch::report_port
{
public:
    agent_node(boost::asio::io_context& io, agent_node_options options);

    /// \p calls reaches the endpoint.
    void start(dispatch::endpoint_calls& calls);
    void set_seeds(const std::vector<std::string>& seeds);
    void stop();

    [[nodiscard]] dispatch::endpoint_agent& agent() { return *agent_; }
    [[nodiscard]] observe::event_sink& events() { return log_; }
    [[nodiscard]] std::string metrics_text() const;
    void schedule_turn();

    void send_report(schema::endpoint_report report) override;

private:
    void on_message(const net::link_peer& from, const schema::envelope& message);
    void turn();
    void set_timer();

    boost::asio::io_context& io_;
    agent_node_options options_;
    base::system_clock clock_;
    decision_log log_;
    std::uint64_t process_; ///< random
    std::unique_ptr<net::link_hub> hub_;
    dispatch::core_locator locator_;
    std::unique_ptr<dispatch::endpoint_agent> agent_;
    boost::asio::steady_timer timer_;
    bool turn_posted_ = false;
    bool stopped_ = false;
    absl::Time hub_tick_at_ = absl::InfinitePast();
    absl::Time ask_at_ = absl::InfinitePast();
};

} // namespace savoryreach::daemon

#endif
