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

/// One live entry as the router sees it.
struct route_member
{
    base::node_name name;
    std::uint64_t epoch = 0;

    friend bool operator==(const route_member&, const route_member&) = default;
};

/// Selects the home of a submission by rendezvous hashing over the live entries, and keeps replaced
/// views to know which submissions had another home before. Not thread-safe.
class router
{
public:
    /// Starts over after a join. With \p has_predecessors, other epochs may have owned any
    /// submission before \p now.
    void restart(std::vector<route_member> members, bool has_predecessors, absl::Time now);

    /// Takes the members of a newer view; equal members change nothing.
    void update(std::vector<route_member> members, absl::Time now);

    /// The home of \p submission_id; nullopt while no view is known.
    [[nodiscard]] std::optional<route_member> home_of(std::string_view submission_id) const;

    /// The time until which an unknown submission must not start here, because a former home may
    /// have refused it; InfinitePast when there was no other home recently.
    [[nodiscard]] absl::Time hold_until(std::string_view submission_id, absl::Time now) const;

    /// True when another epoch may have started tasks of \p submission_id within the longest time
    /// budget, so that only the ledger can tell that nothing ran.
    [[nodiscard]] bool had_other_home(std::string_view submission_id, absl::Time now) const;

    [[nodiscard]] const std::vector<route_member>& members() const { return members_; }

    /// Longest time budget of a job; older views say nothing about what may still run.
    static constexpr absl::Duration view_memory = absl::Minutes(10);
    /// Bound on remembered views.
    static constexpr std::size_t max_past_views = 64;

private:
    struct past_view
    {
        std::vector<route_member> members;
        absl::Time replaced_at;
        bool any_home = false; ///< the home may have been any other epoch
    };

    [[nodiscard]] bool differs(const past_view& view, std::string_view submission_id) const;
    void remember(past_view view);

    std::vector<route_member> members_; ///< the current view, by name
    std::deque<past_view> past_;        ///< oldest first
};

} // namespace savoryreach::entry

#endif
