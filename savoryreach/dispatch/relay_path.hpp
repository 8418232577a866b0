#ifndef SAVORYREACH_DISPATCH_RELAY_PATH_HPP
#define SAVORYREACH_DISPATCH_RELAY_PATH_HPP

#include "savoryreach/dispatch/core_locator.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Name of the link to \p peer through \p relay.
[[nodiscard]] std::string relayed_link_name(const std::string& peer, const std::string& relay);

/// What a process hears of the core over its own links.
struct direct_contact
{
    std::optional<dispatcher_ref> dispatcher;
    absl::Time dispatcher_heard_at = absl::InfinitePast();
    absl::Time core_heard_at = absl::InfinitePast(); ///< any member of the core

    friend bool operator==(const direct_contact&, const direct_contact&) = default;
};

/// Chooses the path from a process to the dispatcher: its own link, or a relay while that link is
/// cut. Load: a quarter of the hosts is cut off from the core for seconds and still reaches fronts.
class relay_path
{
public:
    /// \p self is the link name of this process.
    explicit relay_path(std::string self) : self_(std::move(self)) {}

    /// Sets the known relays.
    void set_relays(const std::vector<schema::core_address>& relays);
    /// The linked process \p relay passes on that \p dispatcher serves.
    void on_offer(const std::string& relay, const dispatcher_ref& dispatcher, absl::Time now);
    /// \p relay no longer reaches the dispatcher, or the link to it is lost.
    void on_withdrawn(const std::string& relay) { offers_.erase(relay); }
    /// Chooses the path. Returns true if it has changed.
    bool update(const direct_contact& direct, absl::Time now);

    /// Relays to which links are wanted.
    [[nodiscard]] std::vector<schema::core_address> wanted(absl::Time now) const;
    /// The relay of the path; empty for the own link.
    [[nodiscard]] const std::string& relay() const { return relay_; }
    /// The dispatcher behind the relay.
    [[nodiscard]] const dispatcher_ref& dispatcher() const { return dispatcher_; }
    /// When the relay last passed on that the dispatcher serves.
    [[nodiscard]] absl::Time heard_at() const;
    /// Why the last relay was left.
    [[nodiscard]] const char* leave_reason() const { return leave_reason_; }

    /// Relays are dialled after this much silence of the whole core. A member is heard at least
    /// every 300 ms, and there are several.
    static constexpr absl::Duration dial_after = absl::Milliseconds(300);
    /// Same if only the dispatcher is silent; longer than an election.
    static constexpr absl::Duration election_patience = absl::Milliseconds(1500);
    /// Between dialling one relay and the next.
    static constexpr absl::Duration dial_interval = absl::Milliseconds(300);
    static constexpr std::size_t max_dialled = 3;
    /// Silence of the own link after which a relay is used. Early enough to renew leases before
    /// dispatcher::lease_renewal_window ends.
    static constexpr absl::Duration take_after = absl::Milliseconds(400);
    /// An offer is repeated every 250 ms.
    static constexpr absl::Duration offer_lifetime = absl::Milliseconds(700);
    /// The own link is used again when it has answered for this time.
    static constexpr absl::Duration stable_after = absl::Milliseconds(600);

private:
    struct offer
    {
        dispatcher_ref dispatcher;
        absl::Time heard_at;
    };

    [[nodiscard]] bool is_usable(const std::string& relay, absl::Time now) const;
    [[nodiscard]] bool should_return(const direct_contact& direct) const;
    void leave(const char* reason);
    bool take(absl::Time now);

    std::string self_;
    std::vector<schema::core_address> known_;
    std::vector<schema::core_address>
        relays_; ///< those of other processes, in the order in which they are tried
    absl::btree_map<std::string, offer> offers_;
    std::string relay_;
    dispatcher_ref dispatcher_;
    const char* leave_reason_ = "";
    std::uint64_t last_term_ = 0;
    absl::Time heard_at_ = absl::InfinitePast(); ///< the dispatcher, directly
    absl::Time core_heard_at_ = absl::InfinitePast();
    absl::Time answering_since_ = absl::InfiniteFuture();
};

} // namespace savoryreach::dispatch

#endif
