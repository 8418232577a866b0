#ifndef SAVORYREACH_DISPATCH_RELAY_TABLE_HPP
#define SAVORYREACH_DISPATCH_RELAY_TABLE_HPP

#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <string>
#include <utility>
#include <vector>

namespace savoryreach::dispatch
{

/// A relay, or a process behind one, that is silent for this time is forgotten.
inline constexpr absl::Duration relay_silence_limit = absl::Milliseconds(1200);

/// True for the messages that a relay passes on from a process to the dispatcher.
[[nodiscard]] bool may_relay_up(const schema::envelope& message);
/// Same for messages from the dispatcher to a process.
[[nodiscard]] bool may_relay_down(const schema::envelope& message);

/// The processes that ask this one to pass on their messages to the dispatcher. Load: many hosts
/// are cut off at once and ask the same relay.
class relay_table
{
public:
    /// \p client asks for its messages to be passed on. Returns false when there are too many.
    bool add(const std::string& client, absl::Time now);
    /// Returns true if \p client was known.
    bool remove(const std::string& client) { return clients_.erase(client) > 0; }
    /// Removes the clients that have not asked again, and returns them.
    std::vector<std::string> expire(absl::Time now);

    [[nodiscard]] bool contains(const std::string& client) const
    {
        return clients_.contains(client);
    }
    [[nodiscard]] std::vector<std::string> clients() const;

    static constexpr std::size_t max_clients = 256;

private:
    absl::btree_map<std::string, absl::Time> clients_; ///< when they asked last
};

/// At the dispatcher: the peers that it hears through relays.
class relayed_peers
{
public:
    /// \p relay passes on a message from \p peer. Returns the name of the link; empty when there
    /// are too many or the name is too long.
    std::string on_message(const std::string& peer, const std::string& relay, absl::Time now);
    /// \p peer sends over its own link.
    void on_direct(const std::string& peer) { latest_.erase(peer); }
    /// \p relay no longer reaches \p peer. Returns the name of the link; empty if it was not known.
    std::string remove(const std::string& peer, const std::string& relay);
    /// The link to \p relay is lost. Returns the names of the links through it.
    std::vector<std::string> remove_relay(const std::string& relay);
    /// Removes silent links and returns their names.
    std::vector<std::string> expire(absl::Time now);

    struct route
    {
        std::string peer;
        std::string relay;
        absl::Time heard_at;

        friend bool operator==(const route&, const route&) = default;
    };
    /// The link with the name \p link; nullptr if there is none.
    [[nodiscard]] const route* find(const std::string& link) const;
    /// The link on which \p peer was heard last; nullptr for its own one.
    [[nodiscard]] const route* latest(const std::string& peer) const;
    [[nodiscard]] std::size_t size() const { return links_.size(); }

    static constexpr std::size_t max_links = 4096;
    static constexpr std::size_t max_name_bytes = 256;

private:
    void forget(const std::string& link);
    template <typename Condition>
    std::vector<std::string> remove_if(Condition matches);

    absl::btree_map<std::string, route> links_;
    absl::btree_map<std::string, std::string> latest_; ///< link name, by peer
};

} // namespace savoryreach::dispatch

#endif
