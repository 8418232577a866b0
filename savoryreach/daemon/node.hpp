#ifndef SAVORYREACH_DAEMON_NODE_HPP
#define SAVORYREACH_DAEMON_NODE_HPP

#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/control_loop.hpp"
#include "savoryreach/daemon/http_server.hpp"
#include "savoryreach/daemon/node_transport.hpp"
#include "savoryreach/net/tcp_transport.hpp"
#include "savoryreach/observe/event_log.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"
#include "schema/generated/settings.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace savoryreach::daemon
{

/// The parts that every daemon has besides its core: clocks, transport, control thread, HTTP server
/// and the shutdown sequence.
class node
{
public:
    using message_handler =
        std::function<void(const base::node_name& from, const schema::envelope& message)>;

    node(const schema::common_settings& settings, const std::string& role, http_limits limits);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    [[nodiscard]] const base::clock& clock() const { return clock_; }
    base::random_source& random() { return random_; }
    net::transport& transport() { return core_transport_; }
    observe::event_sink& events()
    {
        return event_log_ ? static_cast<observe::event_sink&>(*event_log_) : no_events_;
    }
    /// Adds the epoch or incarnation of this process to its later events.
    void set_incarnation(std::uint64_t incarnation);
    /// Passes replies to senders with the operator prefix to \p on_reply instead of the network.
    void set_operator_reply_handler(node_transport::reply_handler on_reply);
    control_loop& loop() { return loop_; }
    http_server& http() { return http_; }

    /// Starts all threads; both handlers run on the control thread. Returns the reason when a
    /// listener fails.
    [[nodiscard]] std::optional<base::reason> start(message_handler on_message,
                                                    std::function<void()> on_tick);

    /// Waits for a shutdown signal and drains the process. \p begin_drain and \p is_drained run on
    /// the control thread. Returns the exit code: 0 when all work in flight has finished.
    int run_until_stopped(const std::function<void()>& begin_drain,
                          const std::function<bool()>& is_drained);

    /// Stops all threads; nothing runs on the control thread afterwards.
    void stop();

    [[nodiscard]] net::tcp_transport_counts message_counts() const { return transport_.counts(); }

private:
    void handle_messages(const base::node_name& from, std::vector<schema::envelope> messages);

    schema::common_settings settings_;
    base::system_clock clock_;
    base::seeded_random random_;
    observe::hybrid_clock hybrid_;
    std::unique_ptr<observe::event_log> event_log_; ///< null when no event file is set
    observe::null_event_sink no_events_;
    message_handler on_message_;
    control_loop loop_;
    http_server http_;
    net::tcp_transport transport_;
    node_transport core_transport_; ///< used by the core
};

} // namespace savoryreach::daemon

#endif
