#include "savoryreach/daemon/relay_service.hpp"

namespace savoryreach::daemon
{
namespace
{

/// With more than this in the queue to one end, a client is dropped: it can ask another relay.
constexpr std::size_t max_queued_bytes = 1024UL * 1024;

} // namespace

void relay_service::update(const std::optional<dispatch::dispatcher_ref>& dispatcher,
                           absl::Time now)
{
    for (const auto& it : table_.expire(now))
    {
        drop(it, "it does not ask any more");
    }
    if (dispatcher != dispatcher_)
    {
        const auto clients = table_.clients();
        for (const auto& it : clients)
        {
            withdraw(it);
        }
        dispatcher_ = dispatcher;
        for (const auto& it : clients)
        {
            offer(it);
        }
    }
    metrics_.gauge_of("savoryreach_relay_clients", "processes that this one relays for") =
        static_cast<double>(table_.clients().size());
}

void relay_service::on_request(const std::string& client, absl::Time now)
{
    const bool known = table_.contains(client);
    if (!table_.add(client, now))
    {
        events_.record("relay_refused", {{"peer", client}, {"reason", "too many clients"}});
        return;
    }
    if (!known)
    {
        events_.record("relay_client_added", {{"peer", client}});
        offer(client);
    }
}

void relay_service::on_view(const std::string& from)
{
    if (dispatcher_ && dispatcher_->name == from)
    {
        for (const auto& it : table_.clients())
        {
            offer(it);
        }
    }
}

void relay_service::offer(const std::string& client)
{
    if (!dispatcher_)
    {
        return;
    }
    schema::envelope message;
    message.mutable_core_view()->set_term(dispatcher_->term);
    message.mutable_core_view()->set_leader(dispatcher_->name);
    message.mutable_core_view()->set_serving(true);
    pass(client, dispatcher_->name, &message);
}

void relay_service::withdraw(const std::string& client)
{
    if (dispatcher_)
    {
        pass(client, dispatcher_->name, nullptr);
    }
}

void relay_service::drop(const std::string& client, const char* reason)
{
    table_.remove(client);
    events_.record("relay_client_lost", {{"peer", client}, {"reason", reason}});
    if (dispatcher_)
    {
        withdraw(client);
        pass(dispatcher_->name, client, nullptr);
    }
}

bool relay_service::pass(const std::string& to, const std::string& peer,
                         const schema::envelope* message)
{
    if (message != nullptr && hub_.queued_bytes(to) > max_queued_bytes)
    {
        return false;
    }
    schema::envelope outer;
    outer.mutable_relayed()->set_peer(peer);
    if (message != nullptr)
    {
        *outer.mutable_relayed()->mutable_message() = *message;
    }
    ++metrics_.counter_of("savoryreach_relayed_messages_total", "messages passed on");
    metrics_.counter_of("savoryreach_relayed_bytes_total", "bytes of messages passed on") +=
        outer.ByteSizeLong();
    hub_.send(base::node_name(to), std::move(outer));
    return true;
}

bool relay_service::on_relayed(const std::string& from, const schema::relayed& message)
{
    const bool is_up = table_.contains(from);
    const bool is_down = dispatcher_ && dispatcher_->name == from;
    if (!is_up && !is_down)
    {
        return false;
    }
    const auto& client = is_up ? from : message.peer();
    if (!dispatcher_ || !table_.contains(client) || (is_up && message.peer() != dispatcher_->name))
    {
        return true;
    }
    if (is_up ? dispatch::may_relay_up(message.message())
              : dispatch::may_relay_down(message.message()))
    {
        const bool passed = is_up ? pass(dispatcher_->name, client, &message.message())
                                  : pass(client, dispatcher_->name, &message.message());
        if (!passed)
        {
            drop(client, "too much is queued");
        }
    }
    return true;
}

void relay_service::on_link_down(const std::string& peer)
{
    if (table_.contains(peer))
    {
        drop(peer, "its link is lost");
    }
}

} // namespace savoryreach::daemon
