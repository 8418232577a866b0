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

/// Registers an agent at the keepers, renews the registration and ends it. Requests are idempotent
/// and go to one keeper after the other until one answers.
class registration
{
public:
    /// What a keeper's reply changed.
    enum class change
    {
        none,
        registered, ///< the incarnation is new
        renewed,
        expired, ///< the incarnation has ended; a new registration has begun
        left,
    };

    registration(const schema::common_settings& settings, const base::clock& clock,
                 base::random_source& random, net::transport& transport);

    /// Sends what is due.
    void tick();
    [[nodiscard]] change receive(const base::node_name& from, const schema::keeper_reply& reply);

    /// Ends the registration; at once when there is none.
    void leave();

    /// True while the keepers can't have expired this incarnation. Without it a start could be
    /// missing from fence_info, which lists the agents that an entry's successor has to ask.
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
    std::string name_;                     ///< of this agent
    std::vector<base::node_name> keepers_; ///< as configured
    std::size_t keeper_index_ = 0;         ///< index of the keeper that is asked
    std::uint32_t redirects_ = 0;          ///< hints followed since the last deadline
    phase phase_ = phase::registering;
    std::uint64_t process_nonce_;   ///< new for each registration, equal in its resends
    std::uint64_t incarnation_ = 0; ///< 0 while not registered
    std::uint64_t request_id_ = 0;  ///< of the current request
    bool is_answered_ = false;      ///< the current request has been answered
    absl::Time send_at_;            ///< next sending, first or again
    absl::Time first_sent_at_;      ///< of the current request; validity counts from here
    absl::Time valid_until_ = absl::InfinitePast(); ///< the keepers may expire it from then on
};

} // namespace savoryreach::agent

#endif
