#include "savoryreach/dispatch/relay_table.hpp"

#include "savoryreach/dispatch/relay_path.hpp"

namespace savoryreach::dispatch
{

bool may_relay_up(const schema::envelope& message)
{
    return message.has_front_request() || message.has_endpoint_report() || message.has_contact();
}

bool may_relay_down(const schema::envelope& message)
{
    return message.has_front_answer() || message.has_endpoint_orders() || message.has_contact();
}

bool relay_table::add(const std::string& client, absl::Time now)
{
    if (!clients_.contains(client) && clients_.size() >= max_clients)
    {
        return false;
    }
    clients_[client] = now;
    return true;
}

std::vector<std::string> relay_table::expire(absl::Time now)
{
    std::vector<std::string> out;
    for (const auto& [client, asked_at] : clients_)
    {
        if (now >= asked_at + relay_silence_limit)
        {
            out.push_back(client);
        }
    }
    for (const auto& it : out)
    {
        clients_.erase(it);
    }
    return out;
}

std::vector<std::string> relay_table::clients() const
{
    std::vector<std::string> out;
    for (const auto& [client, asked_at] : clients_)
    {
        out.push_back(client);
    }
    return out;
}

std::string relayed_peers::on_message(const std::string& peer, const std::string& relay,
                                      absl::Time now)
{
    auto link = relayed_link_name(peer, relay);
    if (peer.empty() || peer.size() > max_name_bytes ||
        (!links_.contains(link) && links_.size() >= max_links))
    {
        return {};
    }
    links_[link] = {peer, relay, now};
    latest_[peer] = link;
    return link;
}

void relayed_peers::forget(const std::string& link)
{
    const auto it = links_.find(link);
    if (const auto found = latest_.find(it->second.peer);
        found != latest_.end() && found->second == link)
    {
        latest_.erase(found);
    }
    links_.erase(it);
}

std::string relayed_peers::remove(const std::string& peer, const std::string& relay)
{
    auto link = relayed_link_name(peer, relay);
    if (!links_.contains(link))
    {
        return {};
    }
    forget(link);
    return link;
}

template <typename Condition>
std::vector<std::string> relayed_peers::remove_if(Condition matches)
{
    std::vector<std::string> out;
    for (const auto& [link, it] : links_)
    {
        if (matches(it))
        {
            out.push_back(link);
        }
    }
    for (const auto& it : out)
    {
        forget(it);
    }
    return out;
}

std::vector<std::string> relayed_peers::remove_relay(const std::string& relay)
{
    return remove_if([&relay](const route& it) { return it.relay == relay; });
}

std::vector<std::string> relayed_peers::expire(absl::Time now)
{
    return remove_if([now](const route& it) { return now >= it.heard_at + relay_silence_limit; });
}

const relayed_peers::route* relayed_peers::find(const std::string& link) const
{
    const auto it = links_.find(link);
    return it == links_.end() ? nullptr : &it->second;
}

const relayed_peers::route* relayed_peers::latest(const std::string& peer) const
{
    const auto it = latest_.find(peer);
    return it == latest_.end() ? nullptr : find(it->second);
}

} // namespace savoryreach::dispatch
