#ifndef SAVORYREACH_LOAD_BASELINE_HPP
#define SAVORYREACH_LOAD_BASELINE_HPP

#include "tools/load/outcome.hpp"
#include "tools/load/virtual_cluster.hpp"
#include "tools/load/workload.hpp"

#include <vector>

namespace savoryreach::load
{

/// Simulated policies for comparison. Neither has claims, admission, shares or retries.
enum class simple_policy
{
    random_fifo, ///< random placement, first in first out at each endpoint, no limits
    clairvoyant, ///< earliest completion with known run times, no network delay; in arrival order
};

/// Runs the planned jobs under a simple policy on the same endpoints and network delays.
[[nodiscard]] run_result run_simple(simple_policy policy, const std::vector<planned_job>& plan,
                                    const cluster_options& cluster, const fleet& endpoints);

} // namespace savoryreach::load

#endif
