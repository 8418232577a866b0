#include "savoryreach/agent/session_table.hpp"

#include <utility>

namespace savoryreach::agent
{

bool session_table::may_start(std::uint64_t epoch) const
{
    const auto it = sessions_.find(epoch);
    return it != sessions_.end() && !views_.is_fenced(epoch) &&
           it->second.is_lease_valid(clock_.now()) && registrar_.is_valid(clock_.now());
}

void session_table::push(std::uint64_t epoch, schema::session_item item)
{
    auto* session = find(epoch);
    if (session != nullptr && session->current_phase() != entry_session::phase::closed)
    {
        session->stream().push(std::move(item));
    }
}

std::string session_table::entry_of(std::uint64_t epoch) const
{
    const auto it = sessions_.find(epoch);
    return it == sessions_.end() ? std::string() : it->second.entry().value();
}

entry_session* session_table::find(std::uint64_t epoch)
{
    const auto it = sessions_.find(epoch);
    return it == sessions_.end() ? nullptr : &it->second;
}

entry_session* session_table::current(const base::node_name& entry)
{
    for (auto it = sessions_.rbegin(); it != sessions_.rend(); ++it)
    {
        if (it->second.entry() == entry)
        {
            return &it->second;
        }
    }
    return nullptr;
}

entry_session& session_table::add(const base::node_name& entry, std::uint64_t epoch,
                                  std::uint64_t incarnation)
{
    return sessions_.try_emplace(epoch, entry, epoch, incarnation).first->second;
}

std::uint64_t session_table::send_frames(net::transport& transport)
{
    std::uint64_t sent = 0;
    for (auto& [epoch, session] : sessions_)
    {
        const auto phase = session.current_phase();
        if (phase == entry_session::phase::connecting || phase == entry_session::phase::closed)
        {
            continue;
        }
        while (auto frame = session.stream().poll(clock_.now()))
        {
            schema::envelope message;
            *message.mutable_session() = *std::move(frame);
            transport.send(session.entry(), std::move(message));
            ++sent;
        }
    }
    return sent;
}

} // namespace savoryreach::agent
