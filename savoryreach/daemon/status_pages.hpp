#ifndef SAVORYREACH_DAEMON_STATUS_PAGES_HPP
#define SAVORYREACH_DAEMON_STATUS_PAGES_HPP

#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/daemon/node.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/keeper/keeper_core.hpp"

#include <json/value.h>

#include <string>

namespace savoryreach::daemon
{

/// The status of a core as a JSON object; its numbers are also exported as metrics.
[[nodiscard]] Json::Value to_json(const entry::entry_status& status);
[[nodiscard]] Json::Value to_json(const agent::agent_status& status);
[[nodiscard]] Json::Value to_json(const keeper::keeper_status& status);

/// The numbers of \p status in the Prometheus text format, each as savoryreach_<role>_<name>.
[[nodiscard]] std::string metrics_text(const std::string& role, const Json::Value& status);

/// Adds /healthz, /readyz, /metrics and /status for \p core, which is read on the control thread.
template <typename Core>
void add_status_pages(node& node, const std::string& role, Core& core)
{
    const auto read_status = [&node, &core]
    {
        Json::Value status;
        node.loop().run_and_wait([&] { status = to_json(core.status()); });
        const auto counts = node.message_counts();
        status["messages_sent"] = Json::UInt64(counts.sent);
        status["messages_received"] = Json::UInt64(counts.received);
        status["messages_dropped"] = Json::UInt64(counts.dropped);
        status["hellos_refused"] = Json::UInt64(counts.refused);
        status["events_dropped"] = Json::UInt64(node.loop().dropped());
        return status;
    };
    node.http().add_health_pages({.is_ready =
                                      [&node, &core]
                                  {
                                      bool ready = false;
                                      node.loop().run_and_wait([&] { ready = core.is_ready(); });
                                      return ready;
                                  },
                                  .metrics =
                                      [role, read_status]
                                  {
                                      return metrics_text(role, read_status());
                                  }});
    node.http().routes().Get(
        "/status", [read_status](const httplib::Request&, httplib::Response& res)
        { res.set_content(read_status().toStyledString(), "application/json"); });
}

} // namespace savoryreach::daemon

#endif
