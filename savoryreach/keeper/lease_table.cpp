#include "savoryreach/keeper/lease_table.hpp"

#include "savoryreach/keeper/keeper_times.hpp"

#include <algorithm>

namespace savoryreach::keeper
{

void lease_table::clear()
{
    entries_.clear();
    agents_.clear();
}

void lease_table::renew_all(const ledger& state, absl::Time now)
{
    for (const auto epoch : state.epochs().live())
    {
        renew_entry(epoch, now);
    }
    for (const auto& [name, incarnation] : state.agents().registered())
    {
        renew_agent(name, incarnation, now);
    }
}

bool lease_table::renew_entry(std::uint64_t epoch, absl::Time now)
{
    auto& it = entries_[epoch];
    if (it.expiring)
    {
        return false;
    }
    it.deadline = std::max(it.deadline, now + entry_lease_time);
    return true;
}

void lease_table::record_report(const schema::renew_entry& renewal)
{
    entries_[renewal.epoch()].last_renewal = renewal;
}

void lease_table::renew_agent(const std::string& name, std::uint64_t incarnation, absl::Time now)
{
    auto& it = agents_[name];
    if (it.incarnation != incarnation)
    {
        it = agent_lease{incarnation};
    }
    it.deadline = std::max(it.deadline, now + agent_expiry);
}

std::vector<std::uint64_t> lease_table::expired_entries(const ledger& state, absl::Time now)
{
    absl::erase_if(entries_, [&](const auto& it)
                   { return state.epochs().status(it.first) != epoch_status::live; });
    std::vector<std::uint64_t> expired;
    for (auto& [epoch, it] : entries_)
    {
        if (!it.expiring && it.deadline <= now)
        {
            it.expiring = true;
            expired.push_back(epoch);
        }
    }
    return expired;
}

std::vector<std::pair<std::string, std::uint64_t>> lease_table::expired_agents(const ledger& state,
                                                                               absl::Time now)
{
    absl::erase_if(agents_, [&](const auto& it)
                   { return !state.agents().is_registered(it.first, it.second.incarnation); });
    std::vector<std::pair<std::string, std::uint64_t>> expired;
    for (auto& [name, it] : agents_)
    {
        if (!it.expiring && it.deadline <= now)
        {
            it.expiring = true;
            expired.emplace_back(name, it.incarnation);
        }
    }
    return expired;
}

const schema::renew_entry& lease_table::last_renewal(std::uint64_t epoch) const
{
    const auto it = entries_.find(epoch);
    return it == entries_.end() ? schema::renew_entry::default_instance() : it->second.last_renewal;
}

} // namespace savoryreach::keeper
