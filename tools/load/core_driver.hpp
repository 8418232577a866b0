#ifndef SAVORYREACH_LOAD_CORE_DRIVER_HPP
#define SAVORYREACH_LOAD_CORE_DRIVER_HPP

#include "tools/load/outcome.hpp"
#include "tools/load/virtual_cluster.hpp"
#include "tools/load/workload.hpp"

#include <optional>
#include <vector>

namespace savoryreach::load
{

/// Offers the planned jobs to the cores on virtual time; nullopt when the cluster did not become
/// ready.
[[nodiscard]] std::optional<run_result> run_cores(const std::vector<planned_job>& plan,
                                                  const workload_options& workload,
                                                  const cluster_options& cluster,
                                                  const fleet& endpoints);

} // namespace savoryreach::load

#endif
