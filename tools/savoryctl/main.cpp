#include "savoryreach/daemon/settings.hpp"
#include "tools/savoryctl/command.hpp"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <functional>
#include <iostream>
#include <map>

DEFINE_string(keepers, "127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203",
              "HTTP addresses of the keepers, ip:port separated by commas");
DEFINE_string(nodes, "127.0.0.1:8081,127.0.0.1:8082",
              "HTTP addresses of the entries or agents that a command concerns");
DEFINE_string(output, "text", "text or json");

namespace savoryreach::savoryctl
{
namespace
{

using words = std::vector<std::string>;
using command = std::function<int(const context&, const words&)>;

constexpr const char* usage =
    "savoryctl COMMAND [words] [flags]\n"
    "  check FILE...            validate declaration files\n"
    "  apply FILE...            bring declarations into force; safe to send again\n"
    "  diff FILE...             compare files with what is in force\n"
    "  status                   configuration in force at each process, and who lags\n"
    "  endpoints | teams | jobs what the entries in --nodes know\n"
    "  drain                    drain the processes in --nodes and wait\n"
    "  cancel SUBMISSION        cancel a job\n"
    "  keepers add NAME IP:PORT | keepers remove NAME\n"
    "  timeline FILE...         merge event files or logs, - for standard input; --submission,\n"
    "                           --process, --event, --trace\n"
    "  explain SUBMISSION FILE...  where a job's time went\n"
    "  settings                 print the reference of all settings";

int print_settings(const context&, const words&)
{
    std::cout << daemon::settings_reference();
    return exit_ok;
}

command describer(const std::string& subject)
{
    return [subject](const context& at, const words&)
    {
        return describe(at, subject);
    };
}

int run(const words& all)
{
    static const std::map<std::string, command> commands{
        {"check", check},
        {"apply", apply},
        {"diff", diff},
        {"status", status},
        {"endpoints", describer("agents")},
        {"teams", describer("teams")},
        {"jobs", describer("jobs")},
        {"drain", drain},
        {"cancel", cancel},
        {"keepers", change_keepers},
        {"timeline", show_timeline},
        {"explain", explain},
        {"settings", print_settings},
    };
    const auto it = all.empty() ? commands.end() : commands.find(all[0]);
    if (it == commands.end() || (FLAGS_output != "text" && FLAGS_output != "json"))
    {
        std::cerr << usage << "\n";
        return exit_usage;
    }
    context at;
    at.keepers = absl::StrSplit(FLAGS_keepers, ',', absl::SkipEmpty());
    at.nodes = absl::StrSplit(FLAGS_nodes, ',', absl::SkipEmpty());
    at.as_json = FLAGS_output == "json";
    return it->second(at, {all.begin() + 1, all.end()});
}

} // namespace
} // namespace savoryreach::savoryctl

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(savoryreach::savoryctl::usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return savoryreach::savoryctl::run({argv + 1, argv + argc});
}
