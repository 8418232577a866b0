#include "savoryreach/agent/entry_session.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::agent
{
namespace
{

/// A quarter of the session lease, so that the lease is kept when three hellos are lost.
constexpr absl::Duration hello_interval = absl::Milliseconds(500);
/// A lease that counts from an older hello has already expired.
constexpr absl::Duration hello_time_retention = absl::Seconds(10);
/// The latest 8 round trips cover 4 s: the minimum follows a changed route but not a short burst of
/// load.
constexpr std::size_t round_trip_window = 8;

} // namespace

entry_session::entry_session(base::node_name entry, std::uint64_t epoch, std::uint64_t incarnation)
    : entry_(std::move(entry)), stream_(epoch, incarnation)
{
}

bool entry_session::is_hello_due(absl::Time now) const
{
    return phase_ != phase::closed && now >= next_hello_at_;
}

void entry_session::record_hello(std::uint64_t request_id, absl::Time now)
{
    next_hello_at_ = now + hello_interval;
    absl::erase_if(hello_times_,
                   [now](const auto& item) { return now - item.second > hello_time_retention; });
    hello_times_[request_id] = now;
}

std::optional<absl::Time> entry_session::hello_sent_at(std::uint64_t request_id) const
{
    const auto it = hello_times_.find(request_id);
    return it == hello_times_.end() ? std::nullopt : std::optional(it->second);
}

void entry_session::add_round_trip(absl::Duration time)
{
    round_trips_.push_back(time);
    if (round_trips_.size() > round_trip_window)
    {
        round_trips_.pop_front();
    }
}

absl::Duration entry_session::shortest_round_trip() const
{
    return round_trips_.empty() ? absl::ZeroDuration() : *std::ranges::min_element(round_trips_);
}

bool entry_session::extend_lease(absl::Time until, absl::Time now)
{
    if (phase_ == phase::closed)
    {
        return false;
    }
    lease_until_ = std::max(lease_until_, until);
    if (phase_ == phase::open || now >= lease_until_)
    {
        return false;
    }
    phase_ = phase::open;
    return true;
}

bool entry_session::check_lease(absl::Time now)
{
    if (phase_ != phase::open || now < lease_until_)
    {
        return false;
    }
    phase_ = phase::expired;
    return true;
}

bool entry_session::close()
{
    return std::exchange(phase_, phase::closed) != phase::closed;
}

bool entry_session::is_lease_valid(absl::Time now) const
{
    return phase_ == phase::open && now < lease_until_;
}

} // namespace savoryreach::agent
