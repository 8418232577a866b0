#include "savoryreach/daemon/relay_client.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::daemon
{
namespace
{

/// Interval between requests to the relays that are wanted.
constexpr absl::Duration request_interval = absl::Milliseconds(250);

} // namespace

relay_client::relay_client(std::string self, bool enabled, net::link_hub& hub,
                           dispatch::core_locator& locator, observe::event_sink& events)
    : enabled_(enabled), hub_(hub), locator_(locator), events_(events), path_(std::move(self))
{
}

dispatch::direct_contact relay_client::direct_contact_at(absl::Time now) const
{
    dispatch::direct_contact out;
    out.dispatcher = locator_.dispatcher(now);
    if (out.dispatcher)
    {
        out.dispatcher_heard_at = hub_.heard_at(out.dispatcher->name);
    }
    for (const auto& it : hub_.peers())
    {
        if (it.can_store)
        {
            out.core_heard_at = std::max(out.core_heard_at, hub_.heard_at(it.name));
        }
    }
    return out;
}

void relay_client::tick(absl::Time now)
{
    if (!enabled_)
    {
        return;
    }
    path_.set_relays(locator_.relays());
    if (path_.update(direct_contact_at(now), now))
    {
        report_path();
    }
    const auto relays = path_.wanted(now);
    if (relays.empty() || now < next_request_)
    {
        return;
    }
    next_request_ = now + request_interval;
    // Links are dialled here, as the next update of the hub may be too late for the leases.
    hub_.want(addresses(now));
    for (const auto& it : relays)
    {
        ask(it.name());
    }
}

void relay_client::report_path()
{
    if (!reported_relay_.empty() && reported_relay_ != path_.relay())
    {
        events_.record("relay_path_left",
                       {{"relay", reported_relay_}, {"reason", path_.leave_reason()}});
    }
    if (is_relayed())
    {
        events_.record("relay_path_taken", {{"relay", path_.relay()},
                                            {"peer", path_.dispatcher().name},
                                            {"term", absl::StrCat(path_.dispatcher().term)}});
    }
    reported_relay_ = path_.relay();
}

void relay_client::ask(const std::string& relay)
{
    schema::envelope message;
    message.mutable_relay_request();
    hub_.send(base::node_name(relay), std::move(message));
}

void relay_client::on_link_up(const net::link_peer& peer, absl::Time now)
{
    const auto relays = path_.wanted(now);
    if (enabled_ &&
        std::ranges::any_of(relays, [&peer](const auto& it) { return it.name() == peer.name; }))
    {
        ask(peer.name);
    }
}

const schema::envelope* relay_client::on_relayed(const net::link_peer& from,
                                                 const schema::relayed& message, absl::Time now)
{
    if (!enabled_)
    {
        return nullptr;
    }
    if (!message.has_message())
    {
        path_.on_withdrawn(from.name);
        return nullptr;
    }
    const auto& inner = message.message();
    if (inner.has_core_view())
    {
        if (inner.core_view().serving())
        {
            path_.on_offer(from.name, {message.peer(), inner.core_view().term()}, now);
        }
        return nullptr;
    }
    const bool is_current = from.name == path_.relay() && message.peer() == path_.dispatcher().name;
    if (!is_current)
    {
        return nullptr;
    }
    // Any message of the dispatcher shows that the path works.
    path_.on_offer(from.name, path_.dispatcher(), now);
    return &inner;
}

std::optional<dispatch::dispatcher_ref> relay_client::dispatcher(absl::Time now) const
{
    if (!is_relayed())
    {
        return locator_.dispatcher(now);
    }
    const auto& target = path_.dispatcher();
    return dispatch::dispatcher_ref{dispatch::relayed_link_name(target.name, path_.relay()),
                                    target.term};
}

absl::Time relay_client::heard_at(const dispatch::dispatcher_ref& dispatcher) const
{
    return is_relayed() ? path_.heard_at()
                        : std::max(locator_.confirmed_at(), hub_.heard_at(dispatcher.name));
}

void relay_client::send(const std::string& dispatcher, schema::envelope message)
{
    if (!is_relayed())
    {
        hub_.send(base::node_name(dispatcher), std::move(message));
        return;
    }
    if (dispatcher != dispatch::relayed_link_name(path_.dispatcher().name, path_.relay()))
    {
        return;
    }
    schema::envelope outer;
    outer.mutable_relayed()->set_peer(path_.dispatcher().name);
    *outer.mutable_relayed()->mutable_message() = std::move(message);
    hub_.send(base::node_name(path_.relay()), std::move(outer));
}

std::vector<std::string> relay_client::addresses(absl::Time now) const
{
    auto out = locator_.addresses(now);
    if (enabled_)
    {
        for (const auto& it : path_.wanted(now))
        {
            out.push_back(it.address());
        }
    }
    return out;
}

} // namespace savoryreach::daemon
