#ifndef SAVORYREACH_DISPATCH_CORE_LOCATOR_HPP
#define SAVORYREACH_DISPATCH_CORE_LOCATOR_HPP

#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// The leader of the core in one term, which acts as dispatcher.
struct dispatcher_ref
{
    std::string name;
    std::uint64_t term = 0;

    friend auto operator<=>(const dispatcher_ref&, const dispatcher_ref&) = default;
};

/// Finds the members of the core and the leader from seed addresses and the views that linked
/// processes send.
class core_locator
{
public:
    explicit core_locator(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    /// Handles a view sent by the linked process \p from. Returns true when the known addresses of
    /// the members have changed.
    bool on_view(const std::string& from, const schema::core_view& view, absl::Time now);
    /// Handles the loss of the link to \p peer.
    void on_down(const std::string& peer);

    /// The dispatcher, if it has confirmed its role recently.
    [[nodiscard]] std::optional<dispatcher_ref> dispatcher(absl::Time now) const;
    /// When the dispatcher last confirmed its role.
    [[nodiscard]] absl::Time confirmed_at() const { return confirmed_at_; }
    /// Addresses to which links are wanted.
    [[nodiscard]] std::vector<std::string> addresses(absl::Time now) const;
    /// Processes outside the core that pass messages on, from the last view that named any.
    [[nodiscard]] const std::vector<schema::core_address>& relays() const { return relays_; }
    /// The view of the core that this process sends to others.
    [[nodiscard]] schema::core_view relayed_view() const;

    /// The dispatcher confirms its role every 300 ms; a confirmation is valid for this time.
    static constexpr absl::Duration confirmation_lifetime = absl::Milliseconds(1200);

private:
    std::vector<std::string> seeds_;
    std::optional<dispatcher_ref> dispatcher_;
    absl::Time confirmed_at_ = absl::InfinitePast();
    std::uint64_t members_term_ = 0;
    std::vector<schema::core_address> members_; ///< from the view of the highest term
    std::vector<schema::core_address> relays_;
    absl::btree_set<std::string> former_; ///< earlier members, used while no dispatcher is known
};

} // namespace savoryreach::dispatch

#endif
