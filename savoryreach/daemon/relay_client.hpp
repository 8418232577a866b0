#ifndef SAVORYREACH_DAEMON_RELAY_CLIENT_HPP
#define SAVORYREACH_DAEMON_RELAY_CLIENT_HPP

#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/relay_path.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/event_sink.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

/// Deployments that tolerate this many failures use relays: their core is on more hosts, of which
/// a cut leaves none in reach.
inline constexpr std::uint32_t min_failures_for_relays = 2;

/// The path of a process outside the core to the dispatcher: its own link, or a relay that it
/// asks while that link is cut.
class relay_client
{
public:
    /// The arguments outlive the object.
    relay_client(std::string self, bool enabled, net::link_hub& hub,
                 dispatch::core_locator& locator, observe::event_sink& events);

    /// Chooses the path and asks relays. Must be called at least every 100 ms.
    void tick(absl::Time now);
    /// Handles a message that \p from passes on. Returns the message inside if it comes over the
    /// current path and has to be handled like one of the dispatcher.
    const schema::envelope* on_relayed(const net::link_peer& from, const schema::relayed& message,
                                       absl::Time now);
    void on_link_up(const net::link_peer& peer, absl::Time now);
    void on_link_down(const std::string& peer) { path_.on_withdrawn(peer); }

    /// The dispatcher by the name of the link to it.
    [[nodiscard]] std::optional<dispatch::dispatcher_ref> dispatcher(absl::Time now) const;
    /// When the dispatcher was last heard on the current path.
    [[nodiscard]] absl::Time heard_at(const dispatch::dispatcher_ref& dispatcher) const;
    /// Sends to the dispatcher over the current path; drops the message if there is none.
    void send(const std::string& dispatcher, schema::envelope message);
    /// Addresses to which links are wanted: those of the core, and of relays.
    [[nodiscard]] std::vector<std::string> addresses(absl::Time now) const;
    /// True while a relay is used.
    [[nodiscard]] bool is_relayed() const { return !path_.relay().empty(); }

private:
    [[nodiscard]] dispatch::direct_contact direct_contact_at(absl::Time now) const;
    void ask(const std::string& relay);
    void report_path();

    bool enabled_;
    net::link_hub& hub_;
    dispatch::core_locator& locator_;
    observe::event_sink& events_;
    dispatch::relay_path path_;
    absl::Time next_request_ = absl::InfinitePast();
    std::string reported_relay_;
};

} // namespace savoryreach::daemon

#endif
