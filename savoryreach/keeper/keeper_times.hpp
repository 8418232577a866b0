#ifndef SAVORYREACH_KEEPER_KEEPER_TIMES_HPP
#define SAVORYREACH_KEEPER_KEEPER_TIMES_HPP

#include <absl/time/time.h>

#include <cstdint>

namespace savoryreach::keeper
{

/// Interval of the leader's heartbeat rounds. Four rounds fit into the leader lease, so that one
/// lost message does not end it.
inline constexpr absl::Duration heartbeat_interval = absl::Milliseconds(100);
/// Leader lease, counted from the sending time of a round that a quorum acknowledged.
inline constexpr absl::Duration leader_lease = absl::Milliseconds(400);
/// A keeper that received a message from a leader within this time votes for no other candidate.
/// Longer than the leader lease, so that a lease has ended before another leader is elected; the
/// difference tolerates clocks that run at slightly different rates.
inline constexpr absl::Duration min_election_timeout = absl::Milliseconds(500);
inline constexpr absl::Duration max_election_timeout = absl::Milliseconds(900);
/// A keeper that has started this many elections without a result doubles its election timeout with
/// each further one: two may fail by chance, since votes were split or lost.
inline constexpr std::uint32_t quick_elections = 2;
/// Limit of the doublings, to a timeout of 4 to 7.2 s; it allows for syncs of more than a second.
inline constexpr std::uint32_t max_timeout_doublings = 3;
/// A leader without contact to a quorum steps down after this time.
inline constexpr absl::Duration quorum_timeout = absl::Milliseconds(900);
/// Unacknowledged entries and snapshot chunks are resent after this time.
inline constexpr absl::Duration resend_interval = absl::Milliseconds(200);

inline constexpr absl::Duration entry_lease_time = absl::Seconds(3);
inline constexpr absl::Duration agent_expiry = absl::Seconds(15);
/// Interval of the scans for expired leases; a scan of thousands of agents on each tick would take
/// about one percent of a processor core.
inline constexpr absl::Duration expiry_scan_interval = absl::Milliseconds(100);

/// The longest time budget of a job, milliseconds. An agent that ended longer than this before a
/// fence can't have run a task of the fenced epoch that is still within its budget.
inline constexpr std::int64_t max_time_budget_ms = 600'000;
/// Fenced epochs are listed in views for this time, milliseconds: the longest time budget plus a
/// margin for resent messages.
inline constexpr std::int64_t fenced_epoch_listing_ms = 900'000;
/// Lower bound of the claim retention, milliseconds, for any declared value: a job may run for the
/// longest time budget, and resent submissions of it arrive during that time.
inline constexpr std::int64_t min_claim_retention_ms = 2 * max_time_budget_ms;
/// Claim retention while no retention policy is declared, milliseconds.
inline constexpr std::int64_t default_claim_retention_ms = 86'400'000;
/// Limit of claims while no retention policy is declared.
inline constexpr std::uint64_t default_max_claims = 10'000'000;

} // namespace savoryreach::keeper

#endif
