#ifndef SAVORYREACH_ENTRY_DEMAND_WATCH_HPP
#define SAVORYREACH_ENTRY_DEMAND_WATCH_HPP

#include "savoryreach/entry/agent_link.hpp"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace savoryreach::entry
{

/// Knows which agents may need a new report of the demand, so that the others cost nothing: those
/// without credit that know of far less demand, and those that know of demand when there is none.
/// Not thread-safe.
class demand_watch
{
public:
    /// The credit, the state or the reported demand of \p link has changed.
    void update(agent_link& link);
    void remove(agent_link& link);
    /// The links that may need a report while \p waiting tasks of all kinds wait.
    [[nodiscard]] std::vector<agent_link*> candidates(std::size_t waiting) const;
    void clear();

    /// True when a report of \p demand says more than the agent knows from \p known.
    [[nodiscard]] static bool is_far_above(std::size_t demand, std::uint32_t known)
    {
        return demand > 0 && (known == 0 || demand >= 2 * std::size_t{known});
    }

private:
    /// Reported demand and the number of the link, which makes the order the same in each run.
    using key = std::tuple<std::uint32_t, std::uint64_t, agent_link*>;

    absl::btree_set<key> without_credit_; ///< live links without credit
    absl::btree_set<key> with_demand_;    ///< links that know of demand
    absl::btree_set<key>
        with_demand_of_some_kinds_; ///< those of with_demand_ that accept some kinds only
};

} // namespace savoryreach::entry

#endif
