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

    /// The home of \p submission_id if \p excluded were not live; nullopt when no other entry is.
    [[nodiscard]] std::optional<route_member> home_without(const base::node_name& excluded,
                                                           std::string_view submission_id) const;

    /// True when home_without() named another entry within the longest refusal retry time before
    /// \p now; refusals of that entry may be in force.
    [[nodiscard]] bool was_other_without(const base::node_name& excluded,
                                         std::string_view submission_id, absl::Time now) const;

    /// The time until which an unknown submission must not start here, because a former home that
    /// is gone may have refused it; InfinitePast when there was none recently.
    [[nodiscard]] absl::Time hold_until(std::string_view submission_id, absl::Time now) const;

    /// Live entries other than \p self that were the home before and may still act on an older
    /// view, or may have refused the submission under it.
    [[nodiscard]] std::vector<route_member>
    former_homes(std::string_view submission_id, const base::node_name& self, absl::Time now) const;
    [[nodiscard]] bool is_member(const route_member& it) const;

    /// True when another epoch may have started tasks of \p submission_id within the longest time
    /// budget, so that only the ledger can tell that nothing ran.
    [[nodiscard]] bool had_other_home(std::string_view submission_id, absl::Time now) const;

    [[nodiscard]] const std::vector<route_member>& members() const { return members_; }

    /// An entry renews its lease of 3 s with the newer view, or refuses nothing after its end.
    static constexpr absl::Duration longest_stale_view = absl::Seconds(3);
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
