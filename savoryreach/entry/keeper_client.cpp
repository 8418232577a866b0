#include "savoryreach/entry/keeper_client.hpp"

#include <algorithm>

namespace savoryreach::entry
{

keeper_client::keeper_client(entry_context& context)
    : context_(context), last_id_(context.ports.random.next() >> 1U)
{
    for (const auto& it : context_.settings.common().keepers())
    {
        keepers_.emplace_back(it.name());
        context_.ports.transport.learn_address(keepers_.back(), it.address());
    }
}

std::uint64_t keeper_client::call(schema::keeper_request request, reply_handler handler)
{
    const auto id = ++last_id_;
    request.set_request_id(id);
    request.set_sender(context_.self.value());
    auto& it = requests_[id];
    it.request = std::move(request);
    it.handler = std::move(handler);
    it.first_sent = context_.now();
    it.target = leader_;
    send(it);
    return id;
}

void keeper_client::cancel(std::uint64_t request_id)
{
    requests_.erase(request_id);
}

void keeper_client::cancel_all()
{
    requests_.clear();
}

void keeper_client::send(pending& it)
{
    it.send_at = context_.now() + reply_deadline;
    if (keepers_.empty())
    {
        return;
    }
    schema::envelope message;
    *message.mutable_keeper_request() = it.request;
    context_.send(keepers_[it.target % keepers_.size()], std::move(message));
}

void keeper_client::redirect(pending& it, const std::string& hint)
{
    const auto now = context_.now();
    const auto found = std::ranges::find(keepers_, base::node_name(hint));
    const auto current = it.target % keepers_.size();
    const bool is_known = found != keepers_.end();
    const auto next = is_known ? static_cast<std::size_t>(found - keepers_.begin())
                               : (current + 1) % keepers_.size();
    const bool is_useful = is_known && next != current;
    it.target = next;
    // Two keepers may point at each other during an election; the pause bounds that exchange.
    if (is_useful && it.redirected_at + redirect_pause <= now)
    {
        it.redirected_at = now;
        send(it);
        return;
    }
    it.is_redirected = true;
    it.send_at = std::min(it.send_at, now + redirect_pause);
}

void keeper_client::receive(const schema::keeper_reply& reply)
{
    const auto found = requests_.find(reply.request_id());
    if (found == requests_.end())
    {
        return;
    }
    auto& it = found->second;
    if (reply.not_leader())
    {
        if (!keepers_.empty() && keepers_[it.target % keepers_.size()].value() == reply.keeper())
        {
            redirect(it, reply.leader_hint());
        }
        return;
    }
    const auto keeper = std::ranges::find(keepers_, base::node_name(reply.keeper()));
    if (keeper != keepers_.end())
    {
        leader_ = static_cast<std::size_t>(keeper - keepers_.begin());
    }
    // The handler may start or cancel other requests.
    const auto handler = std::move(it.handler);
    const auto first_sent = it.first_sent;
    requests_.erase(found);
    handler(reply, first_sent);
}

void keeper_client::tick()
{
    const auto now = context_.now();
    for (auto& [id, it] : requests_)
    {
        if (it.send_at <= now)
        {
            if (!it.is_redirected && !keepers_.empty())
            {
                it.target = (it.target + 1) % keepers_.size();
            }
            it.is_redirected = false;
            send(it);
        }
    }
}

} // namespace savoryreach::entry
