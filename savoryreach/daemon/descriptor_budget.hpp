#ifndef SAVORYREACH_DAEMON_DESCRIPTOR_BUDGET_HPP
#define SAVORYREACH_DAEMON_DESCRIPTOR_BUDGET_HPP

#include "savoryreach/observe/metrics.hpp"

#include <cstddef>
#include <cstdint>

namespace savoryreach::daemon
{

/// Descriptors that a process keeps from the connections of its callers.
namespace descriptor_reserve
{
constexpr std::uint64_t platform_files = 200; ///< files outside the data folder
constexpr std::uint64_t links = 256;          ///< both directions, with those that are replaced
constexpr std::uint64_t log_files = 16;       ///< of a core member, with a snapshot and the lock
constexpr std::uint64_t control = 32;         ///< the operator's calls
constexpr std::uint64_t readiness = 16;
constexpr std::uint64_t metrics = 8;
constexpr std::uint64_t own = 32; ///< standard streams, listeners, timers, the one being accepted
constexpr std::uint64_t total =
    platform_files + links + log_files + control + readiness + metrics + own;
} // namespace descriptor_reserve

/// Largest number of connections of callers in a process with this many descriptors. A process with
/// few keeps three quarters of them for the rest.
[[nodiscard]] std::size_t max_caller_connections(std::uint64_t descriptors);

/// Limit of descriptors of this process. It may change while the process runs.
[[nodiscard]] std::uint64_t descriptor_limit();

/// Adds the descriptors in use and their limit.
void write_descriptor_metrics(observe::metrics& out);

} // namespace savoryreach::daemon

#endif
