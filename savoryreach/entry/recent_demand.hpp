#ifndef SAVORYREACH_ENTRY_RECENT_DEMAND_HPP
#define SAVORYREACH_ENTRY_RECENT_DEMAND_HPP

#include "savoryreach/base/decaying_rate.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Slot time that each kind and team has recently requested, and the share of the slots that the
/// jobs of one team and kind can get if the others continue at that rate (weighted max-min
/// fairness). Not thread-safe.
class recent_demand
{
public:
    void set_kind_weight(const std::string& kind, double weight);
    void set_team_weight(const std::string& team, double weight);

    /// Records a submitted job that needs \p work of slot time.
    void add(const std::string& kind, const std::string& team, absl::Duration work, absl::Time now);

    /// Fraction of \p slots, 0 to 1.
    [[nodiscard]] double share_of(const std::string& kind, const std::string& team, double slots,
                                  absl::Time now) const;

    /// Time over which demand is averaged: a few times the longest usual task.
    static constexpr absl::Duration averaging_time = absl::Seconds(10);

private:
    struct competing_share
    {
        double demand; ///< fraction of the slots
        double weight;
    };

    struct kind_demand
    {
        base::decaying_rate total{averaging_time}; ///< requested slots
        absl::btree_map<std::string, base::decaying_rate> teams;
    };

    /// Part of \p available for a share of \p weight if the others use no more than they demand.
    [[nodiscard]] static double fair_fraction(std::vector<competing_share> others, double weight,
                                              double available);

    absl::btree_map<std::string, kind_demand> kinds_;
    absl::flat_hash_map<std::string, double> kind_weights_; ///< 1 where absent
    absl::flat_hash_map<std::string, double> team_weights_; ///< 1 where absent
};

} // namespace savoryreach::entry

#endif
