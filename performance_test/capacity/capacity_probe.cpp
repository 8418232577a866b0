#include "performance_test/capacity/probes.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <functional>
#include <iostream>
#include <map>

DEFINE_string(probe, "", "what to measure; without a name the probes are listed");
DEFINE_string(range, "", "comma-separated points of the range");
DEFINE_uint64(entries, 1, "entries, where they are not the range");
DEFINE_uint64(agents, 100, "agents, where they are not the range");
DEFINE_uint64(changes, 1, "configuration changes at once");
DEFINE_uint64(clients, 8, "entries that claim at once");
DEFINE_int32(keepers, 3, "keepers in one process");
DEFINE_double(seconds, 3, "real time per point of the claims probe, seconds");
DEFINE_double(run_ms, 100, "run time of a task, milliseconds");
DEFINE_uint32(tasks, 20, "tasks per job");
DEFINE_uint64(output_bytes, 64, "output of a task, bytes");
DEFINE_string(folder, "run/capacity", "folder on disk; the probes remove what they write there");

namespace savoryreach::capacity
{
namespace
{

std::vector<std::size_t> points(const std::string& otherwise)
{
    std::vector<std::size_t> out;
    for (const auto it : absl::StrSplit(FLAGS_range.empty() ? otherwise : FLAGS_range, ','))
    {
        std::size_t n = 0;
        if (!absl::SimpleAtoi(it, &n) || n == 0)
        {
            std::cerr << "--range: not a positive number: " << it << "\n";
            std::exit(2);
        }
        out.push_back(n);
    }
    return out;
}

const std::map<std::string, std::function<void()>>& probes()
{
    static const std::map<std::string, std::function<void()>> all{
        {"agent",
         []
         {
             probe_agent(points("1,2,4,8"), FLAGS_run_ms);
         }},
        {"agent_memory",
         []
         {
             probe_agent_memory(points("1000,10000"), FLAGS_output_bytes);
         }},
        {"claims",
         []
         {
             probe_claims(points("1,10,100,1000,4096"), FLAGS_clients, FLAGS_keepers, FLAGS_seconds,
                          FLAGS_folder);
         }},
        {"cluster",
         []
         {
             probe_cluster(points("1,10,100,300"), FLAGS_entries, FLAGS_run_ms, FLAGS_tasks);
         }},
        {"config",
         []
         {
             probe_config(points("1,10,100,300"), FLAGS_entries, FLAGS_changes);
         }},
        {"declarations",
         []
         {
             probe_declarations(points("10,100,1000,4000"), FLAGS_agents);
         }},
        {"disk",
         []
         {
             probe_disk(FLAGS_folder);
         }},
        {"entry_memory",
         []
         {
             probe_entry_memory(points("2,29,290,1000"));
         }},
        {"ledger",
         []
         {
             probe_ledger(points("10000,100000,1000000"), FLAGS_folder);
         }},
        {"renewals",
         []
         {
             probe_renewals(points("100,1000,4100"));
         }},
    };
    return all;
}

} // namespace
} // namespace savoryreach::capacity

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures what the roles cost per unit of load, for docs/CAPACITY.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto& probes = savoryreach::capacity::probes();
    const auto found = probes.find(FLAGS_probe);
    if (found == probes.end())
    {
        for (const auto& [name, run] : probes)
        {
            std::cerr << "--probe=" << name << "\n";
        }
        return 2;
    }
    found->second();
    return 0;
}
