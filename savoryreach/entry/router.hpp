#ifndef SAVORYREACH_ENTRY_ROUTER_HPP
#define SAVORYREACH_ENTRY_ROUTER_HPP

#include "savoryreach/base/node_name.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryreach::entry
{

/// A live entry to which submissions can be routed.
struct route_member
{
    base::node_name name;
    std::uint64_t epoch = 0;

    friend bool operator==(const route_member&, const route_member&) = default;
};

/// Selects the home entry of a submission, which runs it, by rendezvous hashing over the live
/// entries. Keeps replaced views to determine which submissions had another home before. Not
/// thread-safe.
class router
{
public:
    /// Resets the router after a join. With \p has_predecessors, other epochs may have owned any
    /// submission before \p now.
    void restart(std::vector<route_member> members, bool has_predecessors, absl::Time now);

    /// Applies the members of a newer view. Does nothing when they are unchanged.
    void update(std::vector<route_member> members, absl::Time now);

    /// The home of \p submission_id; nullopt before the first view.
    [[nodiscard]] std::optional<route_member> home_of(std::string_view submission_id) const;

    /// The home of \p submission_id if \p excluded were not live; nullopt when no other entry is
    /// live.
    [[nodiscard]] std::optional<route_member> home_without(const base::node_name& excluded,
                                                           std::string_view submission_id) const;

    /// True when home_without() returned another entry within max_refusal_retry before \p now.
    /// Refusals by that entry may still be in force.
    [[nodiscard]] bool had_other_home_without(const base::node_name& excluded,
                                              std::string_view submission_id, absl::Time now) const;

    /// The time until which an unknown submission must not start here, because a former home that
    /// has left may have refused it. InfinitePast when there was no such home recently.
    [[nodiscard]] absl::Time hold_until(std::string_view submission_id, absl::Time now) const;

    /// Live entries other than \p self that were the home before and may still use an older view or
    /// may have refused the submission under it.
    [[nodiscard]] std::vector<route_member>
    former_homes(std::string_view submission_id, const base::node_name& self, absl::Time now) const;
    [[nodiscard]] bool is_member(const route_member& it) const;

    /// True when another epoch may have started tasks of \p submission_id within the longest time
    /// budget, so that only the ledger can confirm that nothing ran.
    [[nodiscard]] bool had_other_home(std::string_view submission_id, absl::Time now) const;

    [[nodiscard]] const std::vector<route_member>& members() const { return members_; }

    /// Longest time for which an entry acts on a replaced view: each renewal of its lease of 3 s
    /// returns the newer view, and after the end of its lease it refuses nothing.
    static constexpr absl::Duration max_stale_view_time = absl::Seconds(3);
    /// Longest time budget of a job. Views replaced earlier cannot affect jobs that may still run.
    static constexpr absl::Duration view_retention = absl::Minutes(10);
    /// Maximum number of replaced views that are kept.
    static constexpr std::size_t max_past_views = 64;

private:
    struct past_view
    {
        std::vector<route_member> members;
        absl::Time replaced_at;
        bool is_home_unknown = false; ///< any other epoch may have been the home
    };

    [[nodiscard]] bool had_different_home(const past_view& view,
                                          std::string_view submission_id) const;
    void remember(past_view view);

    std::vector<route_member> members_; ///< the current view, by name
    std::deque<past_view> past_;        ///< oldest first
};

} // namespace savoryreach::entry

#endif
