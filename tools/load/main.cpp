#include "tools/load/baseline.hpp"
#include "tools/load/core_driver.hpp"
#include "tools/load/http_driver.hpp"
#include "tools/load/report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>

DEFINE_string(mode, "cores", "cores (virtual time, in this process) or http (real entry hosts)");
DEFINE_string(entries, "2", "number of entries (cores) or ip:port,ip:port,... (http)");
DEFINE_string(policy, "all",
              "savoryreach, baseline (random, first in first out), clairvoyant or all (cores)");
DEFINE_double(load, 0.7, "offered work, share of the true capacity");
DEFINE_double(duration, 60, "time of the arrivals, seconds");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_string(flood, "none", "none, least (previews) or most (holds): in the middle third");
DEFINE_double(flood_factor, 10, "arrivals of the flooding kind during the flood");
DEFINE_uint64(resend, 1, "copies of each submission, sent at once to different entries");
DEFINE_double(cancel, 0, "share of the last second's jobs that is cancelled every 5 s");
DEFINE_uint64(failing, 0, "endpoints that fail every task at once");
DEFINE_double(budget, 10, "time budget in addition to five times the ideal, seconds");
DEFINE_bool(three_tasks, false, "only jobs of three tasks of 100 ms");
DEFINE_uint64(endpoints, 10, "endpoints");
DEFINE_uint64(slots, 8, "slots of an endpoint");
DEFINE_double(slowest, 0.5, "lowest speed of an endpoint");
DEFINE_double(fastest, 3, "highest speed of an endpoint");
DEFINE_uint64(data_centres, 3, "data centres");
DEFINE_uint64(threads, 64, "most requests at once (http)");
DEFINE_string(json, "", "file for the figures");

namespace savoryreach::load
{
namespace
{

workload_options workload_from_flags()
{
    workload_options it;
    it.seed = FLAGS_seed;
    it.load = FLAGS_load;
    it.duration_s = FLAGS_duration;
    it.flood = FLAGS_flood == "least"  ? flood_kind::least
               : FLAGS_flood == "most" ? flood_kind::most
                                       : flood_kind::none;
    it.flood_factor = FLAGS_flood_factor;
    it.copies = std::max<std::size_t>(1, FLAGS_resend);
    it.cancelled_share = FLAGS_cancel;
    it.budget_s = FLAGS_budget;
    it.three_tasks = FLAGS_three_tasks;
    return it;
}

fleet fleet_from_flags()
{
    fleet_shape shape;
    shape.endpoints = FLAGS_endpoints;
    shape.slots = static_cast<std::uint32_t>(FLAGS_slots);
    shape.slowest = FLAGS_slowest;
    shape.fastest = FLAGS_fastest;
    shape.data_centres = std::max<std::size_t>(1, FLAGS_data_centres);
    shape.failing = FLAGS_failing;
    return {shape, FLAGS_seed};
}

/// The quiet plan marks the jobs of the flooding kind too, so that both runs compare equal work.
std::vector<planned_job> without_flood(std::vector<planned_job> plan)
{
    std::erase_if(plan, [](const planned_job& it) { return it.id.starts_with("flood"); });
    return plan;
}

/// Runs one experiment under the chosen policies and prints it.
class experiment
{
public:
    experiment() : workload_(workload_from_flags()), endpoints_(fleet_from_flags())
    {
        cluster_.seed = FLAGS_seed;
        cluster_.data_centres = std::max<std::size_t>(1, FLAGS_data_centres);
    }

    int run()
    {
        const auto plan = plan_jobs(workload_, endpoints_);
        std::cout << "mode=" << FLAGS_mode << " entries=" << FLAGS_entries << " load=" << FLAGS_load
                  << " duration=" << FLAGS_duration << " seed=" << FLAGS_seed
                  << " flood=" << FLAGS_flood << " resend=" << FLAGS_resend
                  << " failing=" << FLAGS_failing << " capacity=" << endpoints_.capacity() << "\n";
        const bool is_good = FLAGS_mode == "http" ? run_real(plan) : run_virtual(plan);
        if (!FLAGS_json.empty())
        {
            std::ofstream(FLAGS_json) << figures_;
        }
        return is_good ? 0 : 1;
    }

private:
    bool run_real(std::vector<planned_job> plan)
    {
        // The ledger remembers the ids of earlier runs for a day.
        const auto run = absl::StrCat("run-", absl::ToUnixMicros(absl::Now()), "-");
        for (auto& it : plan)
        {
            it.id = run + it.id;
        }
        http_options options;
        options.entries = absl::StrSplit(FLAGS_entries, ',');
        options.threads = std::max<std::size_t>(1, FLAGS_threads);
        options.copies = workload_.copies;
        const auto reference =
            run_simple(simple_policy::clairvoyant, plan, cluster_, endpoints_).jobs;
        report(summarise("http", plan, run_http(plan, options), reference, workload_, endpoints_),
               nullptr);
        return true;
    }

    bool run_virtual(const std::vector<planned_job>& plan)
    {
        cluster_.entries = std::max(1UL, std::stoul(FLAGS_entries));
        bool is_good = true;
        for (const std::string policy : {"savoryreach", "baseline", "clairvoyant"})
        {
            if (FLAGS_policy != "all" && FLAGS_policy != policy)
            {
                continue;
            }
            const auto full = run_policy(policy, plan);
            if (!full)
            {
                std::cerr << "the cluster did not become ready\n";
                return false;
            }
            const auto quiet = workload_.flood != flood_kind::none
                                   ? run_policy(policy, without_flood(plan))
                                   : std::nullopt;
            report(*full, quiet ? &*quiet : nullptr);
            is_good = is_good && full->errors.count("unanswered") == 0;
        }
        return is_good;
    }

    std::optional<summary> run_policy(const std::string& policy,
                                      const std::vector<planned_job>& plan)
    {
        const auto reference = run_simple(simple_policy::clairvoyant, plan, cluster_, endpoints_);
        auto result =
            policy == "savoryreach" ? run_cores(plan, workload_, cluster_, endpoints_)
            : policy == "baseline"
                ? std::optional(run_simple(simple_policy::random_fifo, plan, cluster_, endpoints_))
                : std::optional(reference);
        if (!result)
        {
            return std::nullopt;
        }
        return summarise(policy, plan, *std::move(result), reference.jobs, workload_, endpoints_);
    }

    void report(const summary& it, const summary* quiet)
    {
        print(it, quiet);
        auto value = to_json(it);
        if (quiet != nullptr)
        {
            value["without_flood"] = to_json(*quiet);
        }
        figures_.append(std::move(value));
    }

    workload_options workload_;
    fleet endpoints_;
    cluster_options cluster_;
    Json::Value figures_{Json::arrayValue};
};

} // namespace
} // namespace savoryreach::load

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "offers load to savoryreach and reports the measures of docs/measures.md");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return savoryreach::load::experiment().run();
}
