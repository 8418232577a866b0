#ifndef SAVORYREACH_DAEMON_FLEET_NODE_HPP
#define SAVORYREACH_DAEMON_FLEET_NODE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/daemon/core_member.hpp"
#include "savoryreach/daemon/decision_log.hpp"
#include "savoryreach/daemon/turn_loop.hpp"
#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/dispatcher.hpp"
#include "savoryreach/dispatch/request_forwarder.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <boost/asio.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

struct fleet_node_options
{
    std::string name; ///< unique for the process's lifetime, for one without a disk
    std::string ip;
    std::string address; ///< for the system's own processes
    std::vector<std::string> seeds;
    std::string data_folder; ///< empty for a process without a disk
    bool first_start = false;
    std::uint32_t losses_borne = 1;
};

/// A front process: it passes requests on, and with a disk takes part in the core, whose leader is
/// the dispatcher.
class fleet_node final : public dispatch::dispatch_port, public dispatch::request_port
{
public:
    /// \p clock and \p hybrid outlive the node.
    fleet_node(boost::asio::io_context& io, const base::clock& clock, observe::hybrid_clock& hybrid,
               fleet_node_options options);
    ~fleet_node() override;

    /// Starts to listen; an error in words, or nullopt.
    [[nodiscard]] std::optional<std::string> start();
    /// The configured first addresses have changed.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Gives up leading; the process goes on to serve what it has read.
    void begin_drain();
    void stop();

    [[nodiscard]] dispatch::request_forwarder& desk() { return desk_; }
    /// True when requests can be served.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] const base::clock& clock() const { return clock_; }
    [[nodiscard]] observe::event_sink& events() { return log_; }
    [[nodiscard]] std::string metrics_text();
    /// Handles what is due after the messages that are at hand.
    void schedule_turn() { turns_.schedule(); }

    // dispatch_port
    void send_orders(const std::string& agent, schema::endpoint_orders orders) override;
    void answer(const std::string& front, schema::front_answer answer) override;
    std::optional<std::uint64_t> propose(schema::command command) override;
    // request_port
    void send_request(const std::string& dispatcher, schema::front_request request) override;

private:
    void on_up(const net::link_peer& peer);
    void on_message(const net::link_peer& from, const schema::envelope& message);
    void on_down(const net::link_peer& peer, const std::string& why);
    std::chrono::milliseconds turn();
    void update_role();
    void announce();
    [[nodiscard]] schema::core_view view() const;
    [[nodiscard]] bool is_dispatcher() const;

    boost::asio::io_context& io_;
    fleet_node_options options_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    observe::metrics measures_;
    decision_log log_;
    std::string self_; ///< link name of this process
    std::optional<core_identity> identity_;
    std::unique_ptr<net::link_hub> hub_;
    std::unique_ptr<core_member> member_;
    dispatch::fleet_store no_store_; ///< of a process outside the core
    std::unique_ptr<dispatch::dispatcher> dispatcher_;
    dispatch::core_locator locator_;
    dispatch::request_forwarder desk_;
    turn_loop turns_;
    std::uint64_t leading_term_ = 0;
    std::uint64_t seen_applied_ = 0;
    absl::Time announce_at_ = absl::InfinitePast();
    absl::Time hub_tick_at_ = absl::InfinitePast();
};

} // namespace savoryreach::daemon

#endif
