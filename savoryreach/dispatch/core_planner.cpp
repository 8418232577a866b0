#include "savoryreach/dispatch/core_planner.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

bool is_linked(const core_state& state, const std::string& name)
{
    return name == state.self ||
           std::ranges::find(state.linked, name, &net::link_peer::name) != state.linked.end();
}

/// True when another process listens at the member's address: the host has lost its disk, so the
/// member can't return.
bool is_superseded(const core_state& state, const schema::keeper_member& member)
{
    return std::ranges::any_of(
        state.linked, [&member](const net::link_peer& it)
        { return it.can_store && it.address == member.address() && it.name != member.name(); });
}

schema::change_keepers removal(const schema::keeper_member& member)
{
    schema::change_keepers out;
    out.set_name(member.name());
    out.set_remove(true);
    return out;
}

} // namespace

std::optional<schema::change_keepers> core_planner::next(const core_state& state,
                                                         absl::Time now) const
{
    std::size_t voters = 0;
    std::size_t healthy = 0;
    const schema::keeper_member* lost = nullptr;
    for (const auto& it : state.members.members())
    {
        const auto last_answer = std::max(state.last_answer_at(it.name()), state.leading_since);
        const bool gone = it.name() != state.self &&
                          ((is_superseded(state, it) && !is_linked(state, it.name())) ||
                           now > last_answer + replace_after);
        voters += it.voter() ? 1 : 0;
        healthy += it.voter() && !gone ? 1 : 0;
        if (gone && (lost == nullptr || !it.voter()))
        {
            lost = &it;
        }
    }
    // A lost learner blocks every other change.
    if (lost != nullptr && !lost->voter())
    {
        return removal(*lost);
    }
    // Removing a lost voter never leaves the remaining voters without a majority.
    if (lost != nullptr && voters > wanted_voters_)
    {
        return removal(*lost);
    }
    if (healthy >= wanted_voters_)
    {
        if (voters > wanted_voters_)
        {
            for (const auto& it : state.members.members())
            {
                if (it.name() != state.self && it.voter())
                {
                    return removal(it);
                }
            }
        }
        return std::nullopt;
    }
    for (const auto& it : state.linked)
    {
        const bool member = std::ranges::any_of(state.members.members(), [&it](const auto& m)
                                                { return m.name() == it.name; });
        if (it.can_store && !member && !it.address.empty())
        {
            schema::change_keepers out;
            out.set_name(it.name);
            out.set_address(it.address);
            return out;
        }
    }
    return std::nullopt;
}

} // namespace savoryreach::dispatch
