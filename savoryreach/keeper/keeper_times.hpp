#ifndef SAVORYREACH_KEEPER_KEEPER_TIMES_HPP
#define SAVORYREACH_KEEPER_KEEPER_TIMES_HPP

#include <absl/time/time.h>

#include <cstdint>

namespace savoryreach::keeper
{

/// Interval of the leader's rounds. Four rounds fit into the leader lease, so that one lost
/// message does not end it.
inline constexpr absl::Duration heartbeat_interval = absl::Milliseconds(100);
/// Leader lease, counted from the sending of a round that a quorum acknowledged.
inline constexpr absl::Duration leader_lease = absl::Milliseconds(400);
/// A keeper that heard from a leader within this time votes for nobody else. Longer than the leader
/// lease, so that a lease has ended before another leader can exist; the difference allows for
/// clocks that run at slightly different rates.
inline constexpr absl::Duration min_election_timeout = absl::Milliseconds(500);
inline constexpr absl::Duration max_election_timeout = absl::Milliseconds(900);
/// A leader without a quorum steps down after this time.
inline constexpr absl::Duration quorum_timeout = absl::Milliseconds(900);
/// Entries and snapshot chunks without an acknowledgement are sent again after this time.
inline constexpr absl::Duration resend_interval = absl::Milliseconds(200);

inline constexpr absl::Duration entry_lease_time = absl::Seconds(3);
inline constexpr absl::Duration agent_expiry = absl::Seconds(15);
/// Expiries are looked for at this interval; a scan of thousands of agents on each tick would cost
/// about a percent of a core.
inline constexpr absl::Duration expiry_scan_interval = absl::Milliseconds(100);

/// The longest time budget of a job, milliseconds: an agent that ended earlier than this before a
/// fence can't hold a task that a takeover has to account for.
inline constexpr std::int64_t longest_budget_ms = 600'000;
/// Fenced epochs are listed in views for this time, milliseconds: the longest time budget and a
/// margin for resent copies.
inline constexpr std::int64_t fence_listing_ms = 900'000;
/// No claim expires earlier than this after its grant, milliseconds, however short the declared
/// retention: a job may run for the longest time budget, and its copies arrive meanwhile.
inline constexpr std::int64_t shortest_retention_ms = 2 * longest_budget_ms;
/// Retention while no retention policy is declared, milliseconds.
inline constexpr std::int64_t default_retention_ms = 86'400'000;
/// Bound on claims while no retention policy is declared.
inline constexpr std::uint64_t default_max_claims = 10'000'000;

} // namespace savoryreach::keeper

#endif
