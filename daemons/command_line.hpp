#ifndef SAVORYREACH_DAEMONS_COMMAND_LINE_HPP
#define SAVORYREACH_DAEMONS_COMMAND_LINE_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/daemon/node.hpp"
#include "savoryreach/daemon/settings.hpp"
#include "savoryreach/daemon/shutdown_signal.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <optional>
#include <string>
#include <vector>

DECLARE_string(settings);
DECLARE_bool(check_settings);

namespace savoryreach::daemons
{

/// Exit code for an invalid settings file or command line.
inline constexpr int exit_bad_settings = 2;

/// Main function of a daemon: parses the command line, reads the settings, opens the log and calls
/// \p serve.
template <typename Settings, typename Serve>
int run_daemon(int argc, char** argv, const std::string& usage, Serve serve)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const daemon::shutdown_signal signals;
    std::vector<std::string> errors;
    const auto settings = daemon::read_settings<Settings>(FLAGS_settings, errors);
    if (!settings)
    {
        for (const auto& it : errors)
        {
            std::cerr << it << "\n";
        }
        return exit_bad_settings;
    }
    if (FLAGS_check_settings)
    {
        std::cout << FLAGS_settings << ": settings are valid\n";
        return 0;
    }
    daemon::open_log(settings->common().log_file(), settings->common().name());
    return serve(*settings);
}

/// Logs the start of a node and runs it until it is stopped. \p error is the result of
/// node::start(). Returns the exit code.
template <typename Core>
int run_until_stopped(daemon::node& node, Core& core, const std::optional<base::reason>& error)
{
    if (error)
    {
        daemon::log(daemon::log_level::error, "start_failed", {{"reason", error->text}});
        return 1;
    }
    daemon::log(daemon::log_level::info, "started", {});
    return node.run_until_stopped([&core] { core.begin_drain(); },
                                  [&core] { return core.is_drained(); });
}

} // namespace savoryreach::daemons

#endif
