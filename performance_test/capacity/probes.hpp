#ifndef SAVORYREACH_PERFORMANCE_TEST_PROBES_HPP
#define SAVORYREACH_PERFORMANCE_TEST_PROBES_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::capacity
{

// Every probe prints one line of key=value pairs per point.

/// Entry, agents and keeper with \p agents agents: idle, and with every slot busy.
void probe_cluster(const std::vector<std::size_t>& agents, std::size_t entries, double run_ms,
                   std::uint32_t tasks);
/// One agent with \p entries entries: idle, and with every slot busy.
void probe_agent(const std::vector<std::size_t>& entries, double run_ms);
/// Time and bytes until \p changes changes are in force at all agents and entries.
void probe_config(const std::vector<std::size_t>& agents, std::size_t entries, std::size_t changes);
/// Idle cost of \p agents agents while \p declarations declarations are in force.
void probe_declarations(const std::vector<std::size_t>& declarations, std::size_t agents);

/// Heap of an entry per agent, estimate, job, waiting task and team.
void probe_entry_memory(const std::vector<std::size_t>& counts);
/// Heap of an agent per start record and per kept result of \p output_bytes.
void probe_agent_memory(const std::vector<std::size_t>& counts, std::size_t output_bytes);

/// Claims at saturation on a real disk: \p keepers keepers in one process, \p clients entries with
/// one request of each size of \p batches in flight, for \p seconds each.
void probe_claims(const std::vector<std::size_t>& batches, std::size_t clients, int keepers,
                  double seconds, const std::string& folder);
/// Latency of the disk's own append and fdatasync.
void probe_disk(const std::string& folder);
/// Heap and snapshot of the ledger per claim and per agent incarnation.
void probe_ledger(const std::vector<std::size_t>& claims, const std::string& folder);
/// Processor time of renewals at the leader.
void probe_renewals(const std::vector<std::size_t>& agents);

} // namespace savoryreach::capacity

#endif
