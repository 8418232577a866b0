#ifndef SAVORYREACH_AGENT_ENTRY_SESSION_HPP
#define SAVORYREACH_AGENT_ENTRY_SESSION_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/net/session.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace savoryreach::agent
{

/// The agent's session with one epoch of an entry: the hellos that renew the session lease, the
/// lease and the message stream.
class entry_session
{
public:
    enum class phase
    {
        connecting, ///< no lease yet
        open,       ///< the lease was valid at the last check
        expired,    ///< the lease has expired; a new lease reopens the session
        closed,     ///< fenced or replaced; never reopens
    };

    entry_session(base::node_name entry, std::uint64_t epoch, std::uint64_t incarnation);

    [[nodiscard]] bool is_hello_due(absl::Time now) const;
    void record_hello(std::uint64_t request_id, absl::Time now);
    /// The time at which the hello \p request_id was sent; nullopt when it is unknown or was
    /// discarded because of its age.
    [[nodiscard]] std::optional<absl::Time> hello_sent_at(std::uint64_t request_id) const;

    /// Adds the time between a hello and its reply.
    void add_round_trip(absl::Duration time);
    /// The shortest of the latest round trips; zero when none is known.
    [[nodiscard]] absl::Duration shortest_round_trip() const;

    /// Makes the next hello due immediately.
    void schedule_hello_now() { next_hello_at_ = absl::InfinitePast(); }
    /// Called when the entry has answered a hello that announced the drain.
    void confirm_drain() { is_drain_confirmed_ = true; }
    [[nodiscard]] bool is_drain_confirmed() const { return is_drain_confirmed_; }

    /// Extends the lease to \p until unless it already ends later. Returns true when this opens the
    /// session.
    [[nodiscard]] bool extend_lease(absl::Time until, absl::Time now);
    /// Marks an open session as expired when its lease has ended. Returns true when it does so.
    [[nodiscard]] bool check_lease(absl::Time now);
    /// Returns true when the session was not closed before.
    bool close();

    [[nodiscard]] bool is_lease_valid(absl::Time now) const;
    [[nodiscard]] absl::Time lease_until() const { return lease_until_; }
    [[nodiscard]] phase current_phase() const { return phase_; }
    [[nodiscard]] const base::node_name& entry() const { return entry_; }
    [[nodiscard]] std::uint64_t epoch() const { return stream_.epoch(); }
    [[nodiscard]] net::session& stream() { return stream_; }
    [[nodiscard]] const net::session& stream() const { return stream_; }

private:
    base::node_name entry_;
    net::session stream_;
    phase phase_ = phase::connecting;
    absl::Time lease_until_ = absl::InfinitePast();
    bool is_drain_confirmed_ = false;
    absl::Time next_hello_at_ = absl::InfinitePast();        ///< when the next hello is due
    absl::btree_map<std::uint64_t, absl::Time> hello_times_; ///< recent hellos by request id
    std::deque<absl::Duration> round_trips_;                 ///< of the latest hellos
};

} // namespace savoryreach::agent

#endif
