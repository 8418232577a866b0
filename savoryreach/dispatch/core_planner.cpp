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

/// A linked process that can become a member; null if there is none. One that was removed for its
/// silence comes last.
const net::link_peer* find_stand_by(const core_state& state)
{
    const net::link_peer* out = nullptr;
    for (const auto& it : state.linked)
    {
        const bool is_member = std::ranges::any_of(state.members.members(), [&it](const auto& m)
                                                   { return m.name() == it.name; });
        if (it.can_store && !is_member && !it.address.empty() &&
            (out == nullptr || state.last_removed_at(it.name) < state.last_removed_at(out->name)))
        {
            out = &it;
        }
    }
    return out;
}

} // namespace

bool core_planner::is_silent(const core_state& state, const schema::keeper_member& member,
                             absl::Time now) const
{
    const auto last_sign =
        std::max(state.last_answer_at(member.name()), state.last_linked_at(member.name()));
    return now > last_sign + replace_after_ && now > state.leading_since + first_answer_wait;
}

/// Removes a voter above the wanted number. A voter that is lost but not recognised as such yet
/// must not stay in the place of a live one.
std::optional<schema::change_keepers> core_planner::remove_surplus(const core_state& state,
                                                                   absl::Time now) const
{
    const schema::keeper_member* surplus = nullptr;
    for (const auto& it : state.members.members())
    {
        if (it.name() == state.self || !it.voter())
        {
            continue;
        }
        if (now > state.last_answer_at(it.name()) + recent_answer)
        {
            return std::nullopt;
        }
        surplus = surplus == nullptr ? &it : surplus;
    }
    return surplus == nullptr ? std::nullopt : std::optional(removal(*surplus));
}

std::optional<schema::change_keepers> core_planner::next(const core_state& state,
                                                         absl::Time now) const
{
    std::size_t voters = 0;
    const schema::keeper_member* blocking_learner = nullptr;
    const schema::keeper_member* without_disk = nullptr;
    const schema::keeper_member* silent = nullptr;
    for (const auto& it : state.members.members())
    {
        voters += it.voter() ? 1 : 0;
        if (it.name() == state.self)
        {
            continue;
        }
        const bool lost_disk = is_superseded(state, it) && !is_linked(state, it.name());
        const bool is_lost = lost_disk || is_silent(state, it, now);
        if (!it.voter())
        {
            blocking_learner =
                is_lost || now > state.promoted_by(it.name()) ? &it : blocking_learner;
        }
        else if (is_lost)
        {
            (lost_disk ? without_disk : silent) = &it;
        }
    }
    // A learner that does not become a voter blocks every other change.
    if (blocking_learner != nullptr)
    {
        return removal(*blocking_learner);
    }
    if (without_disk != nullptr)
    {
        return removal(*without_disk);
    }
    if (voters > wanted_voters_)
    {
        return silent != nullptr ? removal(*silent) : remove_surplus(state, now);
    }
    const auto* stand_by = find_stand_by(state);
    if (stand_by == nullptr || (voters == wanted_voters_ && silent == nullptr))
    {
        return std::nullopt;
    }
    schema::change_keepers out;
    out.set_name(stand_by->name);
    out.set_address(stand_by->address);
    return out;
}

} // namespace savoryreach::dispatch
