#include "savoryreach/dispatch/fleet_store.hpp"

namespace savoryreach::dispatch
{

void fleet_store::apply(const schema::log_entry& entry)
{
    const auto& command = entry.command();
    if (command.has_fleet_config() && command.fleet_config().version() > config_.version())
    {
        config_ = command.fleet_config();
    }
    for (const auto& it : command.host_change().joined())
    {
        hosts_.insert(it);
    }
    for (const auto& it : command.host_change().left())
    {
        hosts_.erase(it);
    }
    if (command.has_evacuation_change())
    {
        const auto& change = command.evacuation_change();
        if (change.ends())
        {
            evacuated_.erase(change.data_centre());
        }
        else
        {
            evacuated_.insert(change.data_centre());
        }
    }
}

void fleet_store::save(schema::ledger_snapshot& snapshot) const
{
    auto& state = *snapshot.mutable_fleet();
    *state.mutable_config() = config_;
    for (const auto& it : hosts_)
    {
        state.add_hosts(it);
    }
    for (const auto& it : evacuated_)
    {
        state.add_evacuated(it);
    }
}

bool fleet_store::load(const schema::ledger_snapshot& snapshot)
{
    config_ = snapshot.fleet().config();
    hosts_.clear();
    hosts_.insert(snapshot.fleet().hosts().begin(), snapshot.fleet().hosts().end());
    evacuated_.clear();
    evacuated_.insert(snapshot.fleet().evacuated().begin(), snapshot.fleet().evacuated().end());
    return true;
}

} // namespace savoryreach::dispatch
