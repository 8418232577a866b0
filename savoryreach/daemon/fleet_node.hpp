#ifndef SAVORYREACH_DAEMON_FLEET_NODE_HPP
#define SAVORYREACH_DAEMON_FLEET_NODE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/daemon/core_member.hpp"
#include "savoryreach/daemon/decision_log.hpp"
#include "savoryreach/daemon/memory_shares.hpp"
#include "savoryreach/daemon/rejection_log.hpp"
#include "savoryreach/daemon/relay_client.hpp"
#include "savoryreach/daemon/relay_service.hpp"
#include "savoryreach/daemon/tick_loop.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/dispatcher.hpp"
#include "savoryreach/dispatch/request_forwarder.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <absl/container/btree_map.h>
#include <boost/asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

struct fleet_node_options
{
    std::string name; ///< link name of a process without a disk; differs after each start
    std::string ip;
    std::string address;            ///< listen address for links from other processes
    std::vector<std::string> seeds; ///< addresses to connect to first
    std::string data_folder;        ///< empty for a process without a disk
    bool first_start = false;
    std::uint32_t tolerated_failures = 1; ///< core members that may fail at the same time
    /// For this long after it is back, or its successor has started, a host counts as lost.
    absl::Duration catch_up = absl::Seconds(4);
    dispatch::dispatcher_options dispatching;
    std::size_t link_memory_bytes = memory_shares::of(0).links; ///< for messages from others
};

/// A front process. It forwards client requests to the dispatcher. With a disk it is also a member
/// of the core, whose leader is the dispatcher.
class fleet_node final : public dispatch::dispatch_port, public dispatch::request_port
{
public:
    /// \p clock and \p hybrid outlive the node.
    fleet_node(boost::asio::io_context& io, const base::clock& clock, observe::hybrid_clock& hybrid,
               fleet_node_options options);
    ~fleet_node() override;

    /// Opens the listener and, with a disk, the log. Returns an error text on failure.
    [[nodiscard]] std::optional<std::string> start();
    void set_seeds(const std::vector<std::string>& seeds);
    /// Hands leadership over to another member. Requests are served until they are answered, by
    /// \p end at the latest.
    void begin_drain(absl::Time end);
    void stop();

    [[nodiscard]] dispatch::request_forwarder& requests() { return requests_; }
    /// True when a dispatcher is known, so that requests can be served.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] const base::clock& clock() const { return clock_; }
    [[nodiscard]] observe::event_sink& events() { return events_; }
    [[nodiscard]] std::string metrics_text();
    /// \p source adds the metrics of a service that outlives the last metrics_text().
    void add_metrics(std::function<void(observe::metrics&)> source)
    {
        metric_sources_.push_back(std::move(source));
    }
    /// Runs tick() after the event handlers that are ready to run.
    void schedule_tick() { ticks_.schedule(); }

    // dispatch_port
    void send_orders(const std::string& agent, schema::endpoint_orders orders) override;
    void answer(const std::string& front, schema::front_answer answer) override;
    std::optional<std::uint64_t> propose(schema::command command) override;
    // request_port
    void send_request(const std::string& dispatcher, schema::front_request request) override;

private:
    void on_link_up(const net::link_peer& peer);
    void on_message(const net::link_peer& from, const schema::envelope& message) noexcept;
    void on_link_down(const net::link_peer& peer, const std::string& reason) noexcept;
    std::chrono::milliseconds tick();
    void on_relayed(const net::link_peer& from, const schema::relayed& message);
    /// Handles a message to the dispatcher on the link \p link of \p peer.
    void on_dispatcher_message(const std::string& peer, const std::string& link,
                               const schema::envelope& message);
    void confirm_contact(const std::string& link, schema::contact query);
    void on_agent_down(const std::string& link);
    /// Sends over the link with the name \p link, through a relay or not.
    void send_to(const std::string& link, schema::envelope message);
    void update_relaying(absl::Time now);
    [[nodiscard]] std::vector<schema::core_address> known_relays() const;
    void update_role();
    void broadcast_core_view();
    [[nodiscard]] schema::core_view known_core_view(bool with_relays) const;
    [[nodiscard]] bool is_dispatcher() const;

    boost::asio::io_context& io_;
    fleet_node_options options_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    observe::metrics metrics_;
    std::vector<std::function<void(observe::metrics&)>> metric_sources_;
    decision_log events_;
    std::string link_name_; ///< of this process
    std::optional<core_identity> identity_;
    rejection_log link_rejections_{"links"};
    std::unique_ptr<net::link_hub> hub_;
    std::unique_ptr<core_member> member_;
    dispatch::fleet_store empty_store_; ///< for the dispatcher object of a process outside the core
    std::unique_ptr<dispatch::dispatcher> dispatcher_;
    dispatch::core_locator locator_;
    std::unique_ptr<relay_client> path_; ///< to the dispatcher
    std::unique_ptr<relay_service> relay_;
    dispatch::relayed_peers relayed_peers_;
    /// Queries of agents that have not listed their runs, by link.
    absl::btree_map<std::string, schema::contact> withheld_contacts_;
    std::string announced_relays_; ///< names in the last view with relays
    absl::Time next_relays_ = absl::InfinitePast();
    dispatch::request_forwarder requests_;
    tick_loop ticks_;
    std::uint64_t leading_term_ = 0;
    std::uint64_t last_applied_ = 0;
    absl::Time next_broadcast_ = absl::InfinitePast();
    absl::Time next_link_tick_ = absl::InfinitePast();
};

} // namespace savoryreach::daemon

#endif
