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

/// The leading process of the core in one term.
struct dispatcher_ref
{
    std::string name;
    std::uint64_t term = 0;

    friend auto operator<=>(const dispatcher_ref&, const dispatcher_ref&) = default;
};

/// Finds the core and its leader from a few first addresses and from what linked processes say.
class core_locator
{
public:
    explicit core_locator(std::vector<std::string> seeds) : seeds_(std::move(seeds)) {}

    /// Other first addresses were configured.
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    /// Takes what the linked process \p from says.
    /// True when the members that it knows are others now.
    bool on_view(const std::string& from, const schema::core_view& view, absl::Time now);
    /// The link to \p peer is gone.
    void on_down(const std::string& peer);

    /// The process that may act as dispatcher, if its word is recent.
    [[nodiscard]] std::optional<dispatcher_ref> dispatcher(absl::Time now) const;
    /// When the dispatcher last said that it may act.
    [[nodiscard]] absl::Time confirmed_at() const { return confirmed_at_; }
    /// Addresses to keep links to.
    [[nodiscard]] std::vector<std::string> addresses(absl::Time now) const;
    /// What this process tells others of the core.
    [[nodiscard]] schema::core_view relayed_view() const;

    /// The dispatcher's word holds for this time; it repeats it every 300 ms.
    static constexpr absl::Duration word_holds = absl::Milliseconds(1200);

private:
    std::vector<std::string> seeds_;
    std::optional<dispatcher_ref> dispatcher_;
    absl::Time confirmed_at_ = absl::InfinitePast();
    std::uint64_t members_term_ = 0;
    std::vector<schema::core_address> members_; ///< by the view of the highest term
    absl::btree_set<std::string> former_; ///< addresses of earlier members, for when all seeds fail
};

} // namespace savoryreach::dispatch

#endif
