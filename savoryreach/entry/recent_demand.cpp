#include "savoryreach/entry/recent_demand.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savoryreach::entry
{
namespace
{

double weight_of(const absl::flat_hash_map<std::string, double>& weights, const std::string& name)
{
    const auto it = weights.find(name);
    return it != weights.end() ? it->second : 1;
}

} // namespace

void recent_demand::set_kind_weight(const std::string& kind, double weight)
{
    kind_weights_[kind] = std::max(1.0, weight);
}

void recent_demand::set_team_weight(const std::string& team, double weight)
{
    team_weights_[team] = std::max(1.0, weight);
}

void recent_demand::add(const std::string& kind, const std::string& team, absl::Duration work,
                        absl::Time now)
{
    const double seconds = absl::ToDoubleSeconds(work);
    auto& it = kinds_[kind];
    it.total.add(seconds, now);
    it.teams.try_emplace(team, averaging_time).first->second.add(seconds, now);
}

double recent_demand::fair_fraction(std::vector<competing_share> others, double weight,
                                    double available)
{
    std::ranges::sort(others, {}, [](const competing_share& it) { return it.demand / it.weight; });
    double weights = weight;
    for (const auto& it : others)
    {
        weights += it.weight;
    }
    for (const auto& it : others)
    {
        if (it.demand / it.weight >= available / weights)
        {
            break;
        }
        available -= it.demand;
        weights -= it.weight;
    }
    return available * weight / weights;
}

double recent_demand::share_of(const std::string& kind, const std::string& team, double slots,
                               absl::Time now) const
{
    if (slots <= 0)
    {
        return 1;
    }
    std::vector<competing_share> others;
    for (const auto& [name, it] : kinds_)
    {
        if (name != kind)
        {
            others.push_back({it.total.read(now) / slots, weight_of(kind_weights_, name)});
        }
    }
    const double kind_share =
        fair_fraction(std::exchange(others, {}), weight_of(kind_weights_, kind), 1);
    const auto found = kinds_.find(kind);
    if (found == kinds_.end())
    {
        return kind_share;
    }
    for (const auto& [name, it] : found->second.teams)
    {
        if (name != team)
        {
            others.push_back({it.read(now) / slots, weight_of(team_weights_, name)});
        }
    }
    return fair_fraction(std::move(others), weight_of(team_weights_, team), kind_share);
}

} // namespace savoryreach::entry
