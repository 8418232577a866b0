#ifndef SAVORYREACH_ENTRY_LINK_TIMERS_HPP
#define SAVORYREACH_ENTRY_LINK_TIMERS_HPP

#include "savoryreach/entry/agent_link.hpp"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace savoryreach::entry
{

/// At most one timer for each link, ordered by time. A timer may go off before the work is due, as
/// only an earlier time replaces it; the owner then sets it again. Not thread-safe.
class link_timers
{
public:
    /// \p slot is the member of the links that holds the time of their timer.
    explicit link_timers(absl::Time agent_link::*slot) : slot_(slot) {}

    /// Makes the timer of \p link go off no later than \p at.
    void set(agent_link& link, absl::Time at);
    void remove(agent_link& link);
    /// Removes and returns the links whose timers have gone off, in the order of their times.
    [[nodiscard]] std::vector<agent_link*> take_due(absl::Time now);
    void clear() { order_.clear(); }

private:
    /// The number makes the order of equal times the same in each run.
    using timer = std::tuple<absl::Time, std::uint64_t, agent_link*>;

    absl::Time agent_link::*slot_; ///< InfiniteFuture without a timer
    absl::btree_set<timer> order_; ///< by time, then by number of the link
};

} // namespace savoryreach::entry

#endif
