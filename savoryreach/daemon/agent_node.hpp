#ifndef SAVORYREACH_DAEMON_AGENT_NODE_HPP
#define SAVORYREACH_DAEMON_AGENT_NODE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/daemon/decision_log.hpp"
#include "savoryreach/daemon/relay_client.hpp"
#include "savoryreach/daemon/tick_loop.hpp"
#include "savoryreach/dispatch/contact_schedule.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/endpoint_agent.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <boost/asio.hpp>

#include <chrono>
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
    std::vector<std::string> seeds;       ///< addresses to connect to first
    absl::Duration longest_lease;         ///< of a run on the endpoint
    absl::Duration heartbeat_interval;    ///< of the endpoint
    std::uint32_t tolerated_failures = 1; ///< core members that may fail at the same time
};

/// The agent process on an endpoint's host: its links to the core and the event loop of its agent.
class agent_node final : public dispatch::report_port
{
public:
    /// \p clock and \p hybrid outlive the node.
    agent_node(boost::asio::io_context& io, const base::clock& clock, observe::hybrid_clock& hybrid,
               agent_node_options options);

    /// \p calls sends requests to the endpoint; it outlives the node.
    void start(dispatch::endpoint_calls& calls);
    void set_seeds(const std::vector<std::string>& seeds);
    void stop();

    [[nodiscard]] dispatch::endpoint_agent& agent() { return *agent_; }
    [[nodiscard]] const base::clock& clock() const { return clock_; }
    [[nodiscard]] observe::event_sink& events() { return events_; }
    [[nodiscard]] std::string metrics_text();
    /// \p source adds the metrics of a service that outlives the last metrics_text().
    void add_metrics(std::function<void(observe::metrics&)> source)
    {
        metric_sources_.push_back(std::move(source));
    }
    void schedule_tick() { ticks_.schedule(); }

    void send_report(schema::endpoint_report report) override;

private:
    void on_link_down(const net::link_peer& peer, const std::string& reason);
    void on_message(const net::link_peer& from, const schema::envelope& message);
    /// Handles a message of the dispatcher, over the current path.
    void on_dispatcher_message(const schema::envelope& message);
    std::chrono::milliseconds tick();

    agent_node_options options_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    observe::metrics metrics_;
    std::vector<std::function<void(observe::metrics&)>> metric_sources_;
    decision_log events_;
    std::uint64_t process_nonce_; ///< random; distinguishes successive processes on one host
    std::unique_ptr<net::link_hub> hub_;
    dispatch::core_locator locator_;
    std::unique_ptr<relay_client> path_; ///< to the dispatcher
    std::unique_ptr<dispatch::endpoint_agent> agent_;
    tick_loop ticks_;
    absl::Time next_link_tick_ = absl::InfinitePast();
    dispatch::contact_schedule contact_schedule_;
};

} // namespace savoryreach::daemon

#endif
