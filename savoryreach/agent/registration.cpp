#include "savoryreach/agent/registration.hpp"

#include <algorithm>
#include <cassert>

namespace savoryreach::agent
{
namespace
{

/// Time without a renewal after which the keepers expire an agent.
constexpr absl::Duration registration_expiry = absl::Seconds(15);
/// Two of the three renewals within the expiry time may fail.
constexpr absl::Duration renew_interval = absl::Seconds(5);
/// A synced log write takes several milliseconds; a keeper that hasn't replied after this time is
/// considered unavailable.
constexpr absl::Duration reply_timeout = absl::Seconds(1);
/// Delay of the next request when no usable leader hint was given; an election takes about 1 s.
constexpr absl::Duration no_leader_retry_delay = absl::Milliseconds(100);
/// Limits redirects, because keepers with diverging views may name each other as leader.
constexpr std::uint32_t max_redirects = 3;

} // namespace

registration::registration(const schema::common_settings& settings, const base::clock& clock,
                           base::random_source& random, net::transport& transport)
    : clock_(clock), random_(random), transport_(transport), name_(settings.name()),
      process_nonce_(random.next()), send_at_(clock.now())
{
    assert(settings.keepers_size() > 0);
    for (const auto& keeper : settings.keepers())
    {
        keepers_.emplace_back(keeper.name());
        transport_.learn_address(keepers_.back(), keeper.address());
    }
    keeper_index_ = random_.below(keepers_.size());
    begin_request(clock_.now());
}

void registration::begin_request(absl::Time at)
{
    request_id_ = random_.next();
    is_answered_ = false;
    redirects_ = 0;
    first_sent_at_ = absl::InfiniteFuture();
    send_at_ = at;
}

void registration::tick()
{
    if (phase_ == phase::left || clock_.now() < send_at_)
    {
        return;
    }
    // Each renewal is a new request, because its validity counts from its own sending. Registering
    // and leaving resend the same request until it is answered.
    if (is_answered_ || phase_ == phase::registered)
    {
        begin_request(clock_.now());
    }
    send();
    // Selects the next keeper in case this one doesn't reply; a reply resets the selection.
    keeper_index_ = (keeper_index_ + 1) % keepers_.size();
    redirects_ = 0;
}

void registration::send()
{
    schema::envelope message;
    auto& request = *message.mutable_keeper_request();
    request.set_request_id(request_id_);
    request.set_sender(name_);
    if (phase_ == phase::registering)
    {
        request.mutable_register_agent()->set_name(name_);
        request.mutable_register_agent()->set_process_nonce(process_nonce_);
    }
    else if (phase_ == phase::registered)
    {
        request.mutable_renew_agent()->set_name(name_);
        request.mutable_renew_agent()->set_incarnation(incarnation_);
    }
    else
    {
        request.mutable_leave_agent()->set_name(name_);
        request.mutable_leave_agent()->set_incarnation(incarnation_);
    }
    transport_.send(keepers_[keeper_index_], std::move(message));
    first_sent_at_ = std::min(first_sent_at_, clock_.now());
    send_at_ = clock_.now() + reply_timeout;
}

void registration::follow_redirect(const base::node_name& from, const std::string& hint)
{
    const auto it = std::find(keepers_.begin(), keepers_.end(), base::node_name(hint));
    if (it == keepers_.end() || *it == from || redirects_ >= max_redirects)
    {
        send_at_ = std::min(send_at_, clock_.now() + no_leader_retry_delay);
        return;
    }
    ++redirects_;
    keeper_index_ = static_cast<std::size_t>(it - keepers_.begin());
    send();
}

registration::change registration::receive(const base::node_name& from,
                                           const schema::keeper_reply& reply)
{
    if (is_answered_ || reply.request_id() != request_id_ || phase_ == phase::left)
    {
        return change::none;
    }
    if (reply.not_leader())
    {
        follow_redirect(from, reply.leader_hint());
        return change::none;
    }
    const auto result = accept(reply);
    if (result != change::none && result != change::expired)
    {
        is_answered_ = true;
        send_at_ = clock_.now() + renew_interval;
        // The keeper that answered is the leader; the next request goes to it first.
        const auto it = std::find(keepers_.begin(), keepers_.end(), from);
        if (it != keepers_.end())
        {
            keeper_index_ = static_cast<std::size_t>(it - keepers_.begin());
        }
    }
    return result;
}

registration::change registration::accept(const schema::keeper_reply& reply)
{
    if (phase_ == phase::registering && reply.has_register_agent() &&
        reply.register_agent().incarnation() != 0)
    {
        incarnation_ = reply.register_agent().incarnation();
        phase_ = phase::registered;
        valid_until_ = first_sent_at_ + registration_expiry;
        return change::registered;
    }
    if (phase_ == phase::registered && reply.has_renew_agent())
    {
        if (!reply.renew_agent().expired())
        {
            valid_until_ = first_sent_at_ + registration_expiry;
            return change::renewed;
        }
        restart_registration();
        return change::expired;
    }
    if (phase_ == phase::leaving && reply.has_leave_agent())
    {
        phase_ = phase::left;
        return change::left;
    }
    return change::none;
}

void registration::restart_registration()
{
    // With the same nonce, the keepers would treat the request as a resend and return the ended
    // incarnation.
    process_nonce_ = random_.next();
    incarnation_ = 0;
    valid_until_ = absl::InfinitePast();
    phase_ = phase::registering;
    begin_request(clock_.now());
}

void registration::leave()
{
    if (phase_ == phase::registering)
    {
        // If the pending registration still reaches the keepers, it expires there without renewals.
        phase_ = phase::left;
    }
    else if (phase_ == phase::registered)
    {
        phase_ = phase::leaving;
        begin_request(clock_.now());
    }
}

} // namespace savoryreach::agent
