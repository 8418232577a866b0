#ifndef SAVORYREACH_DAEMON_AGENT_NODE_HPP
#define SAVORYREACH_DAEMON_AGENT_NODE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/daemon/decision_log.hpp"
#include "savoryreach/daemon/turn_loop.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/endpoint_agent.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <boost/asio.hpp>

#include <chrono>
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
    /// \p clock and \p hybrid outlive the node.
    agent_node(boost::asio::io_context& io, const base::clock& clock, observe::hybrid_clock& hybrid,
               agent_node_options options);

    /// \p calls reaches the endpoint.
    void start(dispatch::endpoint_calls& calls);
    void set_seeds(const std::vector<std::string>& seeds);
    void stop();

    [[nodiscard]] dispatch::endpoint_agent& agent() { return *agent_; }
    [[nodiscard]] const base::clock& clock() const { return clock_; }
    [[nodiscard]] observe::event_sink& events() { return log_; }
    [[nodiscard]] std::string metrics_text();
    void schedule_turn() { turns_.schedule(); }

    void send_report(schema::endpoint_report report) override;

private:
    void on_message(const net::link_peer& from, const schema::envelope& message);
    std::chrono::milliseconds turn();

    agent_node_options options_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    observe::metrics measures_;
    decision_log log_;
    std::uint64_t process_; ///< random
    std::unique_ptr<net::link_hub> hub_;
    dispatch::core_locator locator_;
    std::unique_ptr<dispatch::endpoint_agent> agent_;
    turn_loop turns_;
    absl::Time hub_tick_at_ = absl::InfinitePast();
    absl::Time ask_at_ = absl::InfinitePast();
};

} // namespace savoryreach::daemon

#endif
