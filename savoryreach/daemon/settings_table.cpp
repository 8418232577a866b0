#include "savoryreach/daemon/settings_table.hpp"

#include <array>

namespace savoryreach::daemon
{
namespace
{

using enum setting_form;

// Defaults and ranges are those stated in schema/settings.proto.
constexpr std::array rows{
    setting_row{"common_settings", "cluster", name, "", 0, 0, 0,
                "Name of the cluster; processes of another cluster are turned away."},
    setting_row{"common_settings", "name", name, "", 0, 0, 0,
                "Name of this process; unique within the cluster."},
    setting_row{"common_settings", "data_centre", name, "", 0, 0, 0, "Data centre of this host."},
    setting_row{
        "common_settings", "listen", optional_address, "", 0, 0, 0,
        "Address for the system's own protocol; required but for agents, which nobody dials."},
    setting_row{"common_settings", "http_listen", address, "", 0, 0, 0,
                "Address for HTTP: callers, /metrics, /healthz, /readyz."},
    setting_row{"common_settings", "keepers", keeper_list, "", 0, 0, 0,
                "Names and addresses of the keepers."},
    setting_row{"common_settings", "log_file", optional_path, "", 0, 0, 0,
                "File for structured logs; empty: standard error."},
    setting_row{"common_settings", "event_file", optional_path, "", 0, 0, 0,
                "File for time line events; empty: no events."},
    setting_row{"common_settings", "drain_deadline_ms", number, "ms", 30'000, 100, 600'000,
                "Longest time a graceful shutdown waits for work in flight."},
    setting_row{"entry_settings", "max_jobs", number, "jobs", 100'000, 1, 10'000'000,
                "Most jobs held at once."},
    setting_row{"entry_settings", "max_waiting_tasks", number, "tasks", 1'000'000, 1, 100'000'000,
                "Most waiting tasks."},
    setting_row{"entry_settings", "max_body_bytes", number, "bytes", 8'388'608, 1'024, 67'108'864,
                "Largest HTTP body."},
    setting_row{"entry_settings", "max_connections", number, "connections", 1'024, 1, 100'000,
                "Most callers' connections."},
    setting_row{"agent_settings", "endpoint", address, "", 0, 0, 0,
                "Address of the endpoint's HTTP service."},
    setting_row{"agent_settings", "slots", number, "slots", 0, 1, 4'096,
                "Tasks that the endpoint runs at once."},
    setting_row{"agent_settings", "kinds", name_list, "", 0, 0, 0,
                "Kinds that the endpoint can run; empty: all."},
    setting_row{"agent_settings", "max_result_bytes", number, "bytes", 16'777'216, 65'536,
                33'554'432, "Bound on kept results."},
    setting_row{"keeper_settings", "data_folder", path, "", 0, 0, 0,
                "The one folder for durable state."},
    setting_row{"keeper_settings", "snapshot_every", number, "entries", 50'000, 100, 10'000'000,
                "Log entries after which a snapshot is taken."},
    setting_row{"keeper_settings", "join_as_learner", flag, "", 0, 0, 0,
                "True for a replacement that starts as a learner and waits to be added."},
};

} // namespace

std::span<const setting_row> settings_table()
{
    return rows;
}

std::string_view form_text(setting_form form)
{
    switch (form)
    {
    case number:
        return "whole number";
    case name:
        return "text of 1 to 128 bytes";
    case path:
        return "non-empty text";
    case optional_path:
        return "text";
    case address:
        return "\"ip:port\", port 1 to 65535";
    case optional_address:
        return "\"ip:port\", port 1 to 65535, or empty";
    case flag:
        return "true or false";
    case name_list:
        return "list of texts of 1 to 128 bytes";
    case keeper_list:
        return "list of 1 to 7 objects with distinct name (1 to 128 bytes) and address (ip:port)";
    }
    return "";
}

} // namespace savoryreach::daemon
