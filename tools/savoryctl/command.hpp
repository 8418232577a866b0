#ifndef SAVORYREACH_SAVORYCTL_COMMAND_HPP
#define SAVORYREACH_SAVORYCTL_COMMAND_HPP

#include "savoryreach/base/error.hpp"

#include <json/json.h>

#include <string>
#include <vector>

namespace savoryreach::savoryctl
{

/// Exit codes by class of error; docs/savoryctl.md lists them.
enum exit_code
{
    exit_ok = 0,
    exit_usage = 2,       ///< the command line is wrong
    exit_bad_input = 3,   ///< a file or a declaration is refused as it stands
    exit_conflict = 4,    ///< another version or content is in force
    exit_unreachable = 5, ///< nobody answered; the same call may be sent again
    exit_failed = 6,      ///< the system refused or failed
};

/// What the subcommands share: where the processes are and how to print.
struct context
{
    std::vector<std::string> keepers; ///< "ip:port" of the keepers' HTTP servers
    std::vector<std::string> nodes;   ///< "ip:port" of the HTTP servers of entries and agents
    bool as_json = false;
};

/// Prints why a call failed and what to do next; returns its exit code.
int report_failure(const base::reason& why);

/// Calls a method of whichever keeper leads.
int call_leader(const context& at, const std::string& method, const Json::Value& params,
                Json::Value& result);

// Each runs one subcommand with the words that follow its name.
int check(const context& at, const std::vector<std::string>& words);
int apply(const context& at, const std::vector<std::string>& words);
int diff(const context& at, const std::vector<std::string>& words);
int status(const context& at, const std::vector<std::string>& words);
int describe(const context& at, const std::string& subject);
int drain(const context& at, const std::vector<std::string>& words);
int cancel(const context& at, const std::vector<std::string>& words);
int change_keepers(const context& at, const std::vector<std::string>& words);
int show_timeline(const context& at, const std::vector<std::string>& words);
int explain(const context& at, const std::vector<std::string>& words);

} // namespace savoryreach::savoryctl

#endif
