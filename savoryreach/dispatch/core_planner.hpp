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

/// State of the core as known to its leader.
struct core_state
{
    std::string self;
    schema::keeper_set members;
    /// Time of a member's last answer; infinite past if it has not answered in this term.
    std::function<absl::Time(const std::string&)> last_answer_at;
    std::vector<net::link_peer> linked; ///< processes with a link to the leader
    absl::Time leading_since;
};

/// Plans changes of the voters of the core: a lost voter is replaced by a stand-by, voters above
/// the wanted number are removed, and a process that lost its disk replaces its former member.
/// Makes one change at a time, and only while the other voters form a quorum.
class core_planner
{
public:
    /// \p wanted_voters is 2 f + 1 to tolerate the loss of f voters.
    explicit core_planner(std::size_t wanted_voters) : wanted_voters_(wanted_voters) {}

    /// The next change, if one is due at \p now.
    [[nodiscard]] std::optional<schema::change_keepers> next(const core_state& state,
                                                             absl::Time now) const;

    /// A voter that has not answered for this time is replaced if there is a stand-by. Longer than
    /// the restart of a process or a short network cut, and shorter than most losses of a host.
    static constexpr absl::Duration replace_after = absl::Seconds(5);

private:
    std::size_t wanted_voters_;
};

} // namespace savoryreach::dispatch

#endif
