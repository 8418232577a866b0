#ifndef SAVORYREACH_LOAD_WORKLOAD_HPP
#define SAVORYREACH_LOAD_WORKLOAD_HPP

#include "schema/generated/job.pb.h"
#include "tools/load/fleet.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::load
{

enum class flood_kind
{
    none,
    least, ///< previews, urgency 0
    most,  ///< holds, urgency 9
};

/// What a run offers to the system.
struct workload_options
{
    std::uint64_t seed = 1;
    double load = 0.7;      ///< share of the fleet's capacity
    double duration_s = 60; ///< of the arrivals
    flood_kind flood = flood_kind::none;
    double flood_factor = 10;   ///< arrivals of the flooding kind in the middle third
    std::size_t copies = 1;     ///< of each submission, sent at once
    double cancelled_share = 0; ///< of the jobs of the last second, cancelled every 5 s
    double budget_s = 10;       ///< time budget in addition to five times the ideal
    bool three_tasks = false;   ///< only jobs of three tasks of 100 ms
};

/// One job with its true work.
struct planned_job
{
    std::string id;
    std::string team;
    std::string kind;
    std::uint32_t urgency = 0;
    bool idempotent = false;
    bool is_flood = false;   ///< of the flooding kind
    double arrival_s = 0;    ///< intended arrival since the start
    double cancel_at_s = -1; ///< negative: never
    double ideal_s = 0;      ///< lower bound of the response time
    std::uint32_t budget_ms = 0;
    std::vector<double> work; ///< seconds of each task at speed 1
};

/// All jobs of a run in order of arrival. Equal options and fleets give equal jobs, and the jobs
/// outside of the flooding kind are the same with and without a flood.
[[nodiscard]] std::vector<planned_job> plan_jobs(const workload_options& options,
                                                 const fleet& endpoints);

/// The job as a caller submits it; the payload of a task tells a stand-in its run time.
[[nodiscard]] schema::submission to_submission(const planned_job& job);

/// Work seconds of a task with that payload.
[[nodiscard]] double work_of(const std::string& payload);

} // namespace savoryreach::load

#endif
