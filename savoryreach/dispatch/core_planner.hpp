#ifndef SAVORYREACH_DISPATCH_CORE_PLANNER_HPP
#define SAVORYREACH_DISPATCH_CORE_PLANNER_HPP

#include "savoryreach/net/link_hub.hpp"
#include "schema/generated/ledger.pb.h"
#include "schema/generated/wire.pb.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// What the leader sees of its core.
struct core_state
{
    std::string self;
    schema::keeper_set members;
    /// When a member last answered; infinite past for never in this term.
    std::function<absl::Time(const std::string&)> heard_at;
    std::vector<net::link_peer> linked; ///< processes with a link to the leader
    absl::Time leading_since;
};

/// Decides how the voters of the core change: a lost one is replaced by a stand-by, members above
/// the wanted number go, a process that lost its disk takes its own former place. One change at a
/// time, and only while the others form a quorum.
class core_planner
{
public:
    /// \p wanted_voters is twice the number of losses to be borne, and one more.
    explicit core_planner(std::size_t wanted_voters) : wanted_voters_(wanted_voters) {}

    /// The next change, if one is due at \p now.
    [[nodiscard]] std::optional<schema::change_keepers> next(const core_state& state,
                                                             absl::Time now) const;

    /// A voter that has not answered for this time is replaced if a stand-by is there; longer than
    /// a restart of a process and than a short cut, shorter than most losses of a host.
    static constexpr absl::Duration replace_after = absl::Seconds(5);

private:
    std::size_t wanted_voters_;
};

} // namespace savoryreach::dispatch

#endif
