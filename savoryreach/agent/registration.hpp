#ifndef SAVORYREACH_AGENT_REGISTRATION_HPP
#define SAVORYREACH_AGENT_REGISTRATION_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/node_name.hpp"
#include "savoryreach/base/random_source.hpp"
#include "savoryreach/net/transport.hpp"
#include "schema/generated/settings.pb.h"
#include "schema/generated/wire.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace savoryreach::agent
{

/// Registers an agent with the keepers, renews the registration and ends it. Requests are
/// idempotent and are sent to one keeper after another until one answers.
class registration
{
public:
    /// The effect of a keeper's reply.
    enum class change
    {
        none,
        registered, ///< a new incarnation has begun
        renewed,
        expired, ///< the incarnation has ended; a new registration is in progress
        left,
    };

    registration(const schema::common_settings& settings, const base::clock& clock,
                 base::random_source& random, net::transport& transport);

    /// Sends the next request, or the current one again, when it is due.
    void tick();
    [[nodiscard]] change receive(const base::node_name& from, const schema::keeper_reply& reply);

    /// Ends the registration; takes effect immediately when the agent is not registered.
    void leave();

    /// True while the keepers can't have expired this incarnation. Tasks start only while this
    /// holds: otherwise the agent could be missing from fence_info, which lists the agents that an
    /// entry's successor has to query, and the successor would not learn of the start.
    [[nodiscard]] bool is_valid(absl::Time now) const { return now < valid_until_; }
    /// 0 while not registered.
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] bool is_leaving() const { return phase_ == phase::leaving || has_left(); }
    [[nodiscard]] bool has_left() const { return phase_ == phase::left; }

private:
    enum class phase
    {
        registering,
        registered,
        leaving,
        left,
    };

    void begin_request(absl::Time at);
    void send();
    void follow_redirect(const base::node_name& from, const std::string& hint);
    [[nodiscard]] change accept(const schema::keeper_reply& reply);
    void restart_registration();

    const base::clock& clock_;
    base::random_source& random_;
    net::transport& transport_;
    std::string name_;                     ///< name of this agent
    std::vector<base::node_name> keepers_; ///< in the configured order
    std::size_t keeper_index_ = 0;         ///< index of the keeper that gets the next request
    std::uint32_t redirects_ = 0;          ///< leader hints followed since the last timeout
    phase phase_ = phase::registering;
    std::uint64_t process_nonce_;   ///< new for each registration, the same when it is resent
    std::uint64_t incarnation_ = 0; ///< 0 while not registered
    std::uint64_t request_id_ = 0;  ///< id of the current request
    bool is_answered_ = false;      ///< the current request has been answered
    absl::Time send_at_;            ///< when the current request is sent or resent
    absl::Time first_sent_at_;      ///< first sending of the current request; start of validity
    absl::Time valid_until_ = absl::InfinitePast(); ///< the keepers may expire it from then on
};

} // namespace savoryreach::agent

#endif
