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
    /// Time of a member's last answer to this leader; infinite past if it has not answered.
    std::function<absl::Time(const std::string&)> last_answer_at;
    /// When this process last heard of a member before it led, or added it as the leader.
    std::function<absl::Time(const std::string&)> last_linked_at;
    /// Until when a learner that this leader has added may catch up.
    std::function<absl::Time(const std::string&)> promoted_by;
    /// When this leader last removed a process of this name; infinite past if it has not.
    std::function<absl::Time(const std::string&)> last_removed_at;
    std::vector<net::link_peer> linked; ///< processes with a link to the leader
    absl::Time leading_since;
};

/// Plans changes of the voters of the core: a lost voter is replaced by a stand-by, voters above
/// the wanted number are removed, and a process that lost its disk replaces its former member.
/// Makes one change at a time, and only while the other voters form a quorum.
///
/// A voter whose disk is lost is removed before its successor is added: beside each other they
/// would raise the number of live voters that a majority needs, and the next loss could end the
/// core for good. A voter that is only silent may return with its disk, and may then be needed for
/// a majority, so it is removed after its successor has become a voter.
class core_planner
{
public:
    /// \p wanted_voters is 2 f + 1 to tolerate the loss of f voters. A voter is replaced, if there
    /// is a stand-by, when it has given no sign of life for \p replace_after.
    core_planner(std::size_t wanted_voters, absl::Duration replace_after)
        : wanted_voters_(wanted_voters), replace_after_(replace_after)
    {
    }

    /// The next change, if one is due at \p now.
    [[nodiscard]] std::optional<schema::change_keepers> next(const core_state& state,
                                                             absl::Time now) const;

    /// A leader waits this long for the first answers of its voters.
    static constexpr absl::Duration first_answer_wait = absl::Seconds(1);
    /// A voter above the wanted number is removed only if all have answered within this time.
    static constexpr absl::Duration recent_answer = absl::Seconds(1);

private:
    [[nodiscard]] bool is_silent(const core_state& state, const schema::keeper_member& member,
                                 absl::Time now) const;
    [[nodiscard]] std::optional<schema::change_keepers> remove_surplus(const core_state& state,
                                                                       absl::Time now) const;

    std::size_t wanted_voters_;
    absl::Duration replace_after_;
};

} // namespace savoryreach::dispatch

#endif
