#ifndef SAVORYREACH_DAEMON_RELAY_SERVICE_HPP
#define SAVORYREACH_DAEMON_RELAY_SERVICE_HPP

#include "savoryreach/dispatch/core_locator.hpp"
#include "savoryreach/dispatch/relay_table.hpp"
#include "savoryreach/net/link_hub.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/metrics.hpp"

#include <optional>
#include <string>

namespace savoryreach::daemon
{

/// A relay: passes messages on between the dispatcher, to which this process has a link, and
/// processes that have none.
class relay_service
{
public:
    /// The arguments outlive the object.
    relay_service(net::link_hub& hub, observe::event_sink& events, observe::metrics& metrics)
        : hub_(hub), events_(events), metrics_(metrics)
    {
    }

    /// Sets the dispatcher that this process hears over its own link; nullopt for none. Must be
    /// called at least every 100 ms.
    void update(const std::optional<dispatch::dispatcher_ref>& dispatcher, absl::Time now);
    void on_request(const std::string& client, absl::Time now);
    /// The dispatcher has said that it serves.
    void on_view(const std::string& from);
    /// Returns false if the message is not for a relay.
    bool on_relayed(const std::string& from, const schema::relayed& message);
    void on_link_down(const std::string& peer);

private:
    void offer(const std::string& client);
    void withdraw(const std::string& client);
    void drop(const std::string& client, const char* reason);
    /// Sends \p message, of \p peer, to \p to; nullptr says that \p peer can't be reached.
    bool pass(const std::string& to, const std::string& peer, const schema::envelope* message);

    net::link_hub& hub_;
    observe::event_sink& events_;
    observe::metrics& metrics_;
    dispatch::relay_table table_;
    std::optional<dispatch::dispatcher_ref> dispatcher_;
};

} // namespace savoryreach::daemon

#endif
