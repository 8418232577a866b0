#ifndef SAVORYREACH_ENTRY_RECENT_DEMAND_HPP
#define SAVORYREACH_ENTRY_RECENT_DEMAND_HPP

#include "savoryreach/base/decaying_rate.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Slot time that each kind and team has lately asked for, and the share of the slots that one
/// team's jobs of one kind can get when the others go on like that (max-min fairness by weight).
/// Not thread-safe.
class recent_demand
{
public:
    void set_kind_weight(const std::string& kind, double weight);
    void set_team_weight(const std::string& team, double weight);

    /// A job that needs \p work of slot time has asked for admission.
    void add(const std::string& kind, const std::string& team, absl::Duration work, absl::Time now);

    /// Fraction of \p slots, 0 to 1.
    [[nodiscard]] double share_of(const std::string& kind, const std::string& team, double slots,
                                  absl::Time now) const;

    /// Time over which demand is averaged: a few times the longest usual task.
    static constexpr absl::Duration memory = absl::Seconds(10);

private:
    struct competitor
    {
        double demand; ///< fraction of the slots
        double weight;
    };

    struct kind_demand
    {
        base::decaying_rate total{memory}; ///< slots asked for
        absl::flat_hash_map<std::string, base::decaying_rate> teams;
    };

    /// What \p weight gets of \p available when the others take no more than they demand.
    [[nodiscard]] static double fill(std::vector<competitor> others, double weight,
                                     double available);

    absl::flat_hash_map<std::string, kind_demand> kinds_;
    absl::flat_hash_map<std::string, double> kind_weights_; ///< 1 where absent
    absl::flat_hash_map<std::string, double> team_weights_; ///< 1 where absent
};

} // namespace savoryreach::entry

#endif
