#ifndef SAVORYREACH_LOAD_REPORT_HPP
#define SAVORYREACH_LOAD_REPORT_HPP

#include "tools/load/outcome.hpp"
#include "tools/load/workload.hpp"

#include <json/json.h>

#include <map>
#include <string>
#include <vector>

namespace savoryreach::load
{

struct quantiles
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    std::size_t count = 0;
};

/// Exact quantiles.
[[nodiscard]] quantiles quantiles_of(std::vector<double> values);

/// The figures of one run; defined in docs/measures.md.
struct summary
{
    std::string policy;
    std::size_t jobs = 0;
    std::size_t complete = 0;
    std::map<std::string, std::size_t> errors; ///< jobs without a complete answer, by error kind
    quantiles to_ideal;                        ///< response / ideal
    quantiles to_reference;                    ///< response / clairvoyant schedule
    quantiles response_s;
    double offered = 0;          ///< work that arrived, share of capacity
    double started = 0;          ///< work of all starts during the arrivals, share of capacity
    double goodput = 0;          ///< work of jobs completed within the window, share of capacity
    double other_work_per_s = 0; ///< completed outside of the flooding kind, middle third
    quantiles other_response_s;  ///< of jobs outside of the flooding kind, middle third
    run_result run;              ///< counts; its jobs are empty
};

/// Jobs that arrive before this time are left out of the quantiles while run times are learned.
[[nodiscard]] double warm_up_s(const workload_options& workload);

/// \p reference holds the clairvoyant outcomes of the same plan.
[[nodiscard]] summary summarise(const std::string& policy, const std::vector<planned_job>& plan,
                                run_result run, const std::vector<job_outcome>& reference,
                                const workload_options& workload, const fleet& endpoints);

/// Writes the figures for people; \p quiet is the run without the flood, or null.
void print(const summary& it, const summary* quiet);

[[nodiscard]] Json::Value to_json(const summary& it);

} // namespace savoryreach::load

#endif
