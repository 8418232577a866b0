#include "savoryreach/dispatch/endpoint_table.hpp"

#include "savoryreach/dispatch/speed_model.hpp"

#include <algorithm>
#include <cassert>

namespace savoryreach::dispatch
{
namespace
{

/// Weight of the newest run in the share of failures: three failures in a row set an endpoint
/// aside, a single one does not.
constexpr double failure_weight = 0.25;
constexpr double failure_limit = 0.55;
/// Shortest time for which an endpoint is set aside; doubles each time up to the longest. Short
/// compared to the 5 to 7 s that a fault of an endpoint lasts.
constexpr absl::Duration min_set_aside = absl::Milliseconds(800);
constexpr absl::Duration max_set_aside = absl::Seconds(4);
/// Concurrent runs of an endpoint that was set aside, until a run succeeds.
constexpr std::size_t probe_runs = 1;

} // namespace

void task_run::update_progress(std::uint32_t share, absl::Duration ran, absl::Time now)
{
    if (!has_progress() || share != percent)
    {
        percent = share;
        progressed_at = now;
    }
    reported_at = now;
    projected_time = projected_run_time(share, ran).value_or(ran);
}

void endpoint_health::set_aside(absl::Time now)
{
    const auto length = min_set_aside * (1U << std::min<std::uint32_t>(set_aside_count_, 4U));
    set_aside_until_ = now + std::min(length, max_set_aside);
    ++set_aside_count_;
    probing_ = true;
}

void endpoint_health::on_success()
{
    failure_share_ *= 1.0 - failure_weight;
    if (probing_)
    {
        failure_share_ = 0.0;
    }
    probing_ = false;
    set_aside_count_ = 0;
}

void endpoint_health::on_failure(absl::Time now)
{
    failure_share_ += failure_weight * (1.0 - failure_share_);
    if (now >= set_aside_until_ && (probing_ || failure_share_ > failure_limit))
    {
        set_aside(now);
    }
}

void endpoint_health::on_refusal(absl::Time now)
{
    if (now >= set_aside_until_)
    {
        set_aside(now);
    }
}

std::size_t endpoint_health::allowed_runs(absl::Time now) const
{
    if (now < set_aside_until_)
    {
        return 0;
    }
    return probing_ ? probe_runs : SIZE_MAX;
}

bool endpoint::has_capacity_for(const resources& wanted) const
{
    return used.cpu_milli + wanted.cpu_milli <= capacity.cpu_milli &&
           used.memory_mb + wanted.memory_mb <= capacity.memory_mb &&
           used.gpu + wanted.gpu <= capacity.gpu;
}

bool endpoint::is_usable() const
{
    return !peer.empty() && known && listed && registered && !draining && !silent && !left &&
           !evacuated;
}

void endpoint::add(const task_id& task, const task_run& it)
{
    assert(!runs.contains(task));
    used.cpu_milli += it.demand.cpu_milli;
    used.memory_mb += it.demand.memory_mb;
    used.gpu += it.demand.gpu;
    runs.emplace(task, it);
}

void endpoint::remove(const task_id& task)
{
    const auto it = runs.find(task);
    if (it == runs.end())
    {
        return;
    }
    used.cpu_milli -= it->second.demand.cpu_milli;
    used.memory_mb -= it->second.demand.memory_mb;
    used.gpu -= it->second.demand.gpu;
    runs.erase(it);
}

endpoint& endpoint_table::get(const std::string& host)
{
    auto& it = endpoints_[host];
    if (!it)
    {
        it = std::make_unique<endpoint>();
        it->host = host;
    }
    return *it;
}

endpoint* endpoint_table::find(const std::string& host)
{
    const auto it = endpoints_.find(host);
    return it == endpoints_.end() ? nullptr : it->second.get();
}

endpoint* endpoint_table::find_peer(const std::string& peer) const
{
    for (const auto& [host, it] : endpoints_)
    {
        if (it->peer == peer)
        {
            return it.get();
        }
    }
    return nullptr;
}

} // namespace savoryreach::dispatch
