#ifndef SAVORYREACH_LOAD_HTTP_DRIVER_HPP
#define SAVORYREACH_LOAD_HTTP_DRIVER_HPP

#include "tools/load/outcome.hpp"
#include "tools/load/workload.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace savoryreach::load
{

struct http_options
{
    std::vector<std::string> entries; ///< "ip:port" of entry hosts
    std::size_t threads = 64;         ///< most requests at once
    std::size_t copies = 1;           ///< of each submission, sent at once
};

/// Posts the planned jobs to real entry hosts at their arrival times. A job whose request begins
/// late because all threads are busy still counts from its intended arrival.
[[nodiscard]] run_result run_http(const std::vector<planned_job>& plan,
                                  const http_options& options);

} // namespace savoryreach::load

#endif
