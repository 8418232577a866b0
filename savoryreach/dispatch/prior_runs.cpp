#include "savoryreach/dispatch/prior_runs.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::dispatch
{

void prior_runs::begin(absl::Time now, host_set hosts)
{
    *this = {};
    began_at_ = now;
    // Without any host there is no record.
    recorded_since_ = hosts.empty() ? absl::InfiniteFuture() : absl::InfinitePast();
    unlisted_ = std::move(hosts);
}

void prior_runs::on_list(const std::string& host, absl::Time recorded_since)
{
    if (unlisted_.erase(host) > 0)
    {
        recorded_since_ = std::max(recorded_since_, recorded_since);
    }
}

void prior_runs::on_gone(const std::string& host)
{
    if (unlisted_.erase(host) > 0)
    {
        recorded_since_ = absl::InfiniteFuture();
    }
}

bool prior_runs::has_never_run(std::uint64_t job, absl::Time read_at) const
{
    return are_listed() && read_at > recorded_since_ && read_at > began_at_ - min_departure_time &&
           !contains(job);
}

} // namespace savoryreach::dispatch
