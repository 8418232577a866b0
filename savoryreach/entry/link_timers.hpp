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

/// At most one timer for each link, ordered by time. Only an earlier time replaces a timer, so it
/// may expire before the work is due; the owner then sets it again. Not thread-safe.
class link_timers
{
public:
    /// \p field is the member of agent_link that stores the time of the timer.
    explicit link_timers(absl::Time agent_link::*field) : field_(field) {}

    /// Makes the timer of \p link expire no later than \p at.
    void set(agent_link& link, absl::Time at);
    void remove(agent_link& link);
    /// Removes the expired timers and returns their links in order of expiry.
    [[nodiscard]] std::vector<agent_link*> take_due(absl::Time now);
    void clear() { order_.clear(); }

private:
    /// The number of the link makes the order of equal times deterministic.
    using timer = std::tuple<absl::Time, std::uint64_t, agent_link*>;

    absl::Time agent_link::*field_; ///< time of the timer, InfiniteFuture when none is set
    absl::btree_set<timer> order_;
};

} // namespace savoryreach::entry

#endif
