#ifndef SAVORYREACH_ENTRY_DEMAND_REPORT_INDEX_HPP
#define SAVORYREACH_ENTRY_DEMAND_REPORT_INDEX_HPP

#include "savoryreach/entry/agent_link.hpp"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace savoryreach::entry
{

/// Index of the agents that may need a new demand report, so that the others cost no time: agents
/// without credit whose last report is far below the demand, and agents whose last report is not
/// zero when there is no demand. Not thread-safe.
class demand_report_index
{
public:
    /// Updates the index after a change of credit, state or reported demand of \p link.
    void update(agent_link& link);
    void remove(agent_link& link);
    /// The links that may need a report while \p waiting tasks of all kinds wait.
    [[nodiscard]] std::vector<agent_link*> candidates(std::size_t waiting) const;
    void clear();

    /// True when \p demand is at least twice the \p known demand, or none was known.
    [[nodiscard]] static bool is_significant_increase(std::size_t demand, std::uint32_t known)
    {
        return demand > 0 && (known == 0 || demand >= 2 * std::size_t{known});
    }

private:
    /// Reported demand and the number of the link, which makes the order deterministic.
    using key = std::tuple<std::uint32_t, std::uint64_t, agent_link*>;

    absl::btree_set<key> without_credit_; ///< live links without credit
    absl::btree_set<key> with_demand_;    ///< live links whose last report is not zero
    absl::btree_set<key>
        with_demand_of_some_kinds_; ///< those of with_demand_ that accept some kinds only
};

} // namespace savoryreach::entry

#endif
