#include "savoryreach/dispatch/fleet_store.hpp"

#include <utility>

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
    if (command.has_cancel_job())
    {
        add_cancelled(command.cancel_job());
    }
}

void fleet_store::add_cancelled(const schema::cancel_job& it)
{
    job_address added{it.host(), it.path()};
    if (!cancelled_.insert(added).second)
    {
        return;
    }
    cancelled_order_.push_back(std::move(added));
    if (cancelled_order_.size() > max_cancelled)
    {
        cancelled_.erase(cancelled_order_.front());
        cancelled_order_.pop_front();
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
    for (const auto& it : cancelled_order_)
    {
        auto& added = *state.add_cancelled();
        added.set_host(it.host);
        added.set_path(it.path);
    }
}

bool fleet_store::load(const schema::ledger_snapshot& snapshot)
{
    config_ = snapshot.fleet().config();
    hosts_.clear();
    hosts_.insert(snapshot.fleet().hosts().begin(), snapshot.fleet().hosts().end());
    evacuated_.clear();
    evacuated_.insert(snapshot.fleet().evacuated().begin(), snapshot.fleet().evacuated().end());
    cancelled_.clear();
    cancelled_order_.clear();
    for (const auto& it : snapshot.fleet().cancelled())
    {
        add_cancelled(it);
    }
    return true;
}

} // namespace savoryreach::dispatch
