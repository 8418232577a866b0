#include "savoryreach/keeper/keeper_members.hpp"

#include <cassert>

namespace savoryreach::keeper
{

keeper_members::keeper_members(schema::keeper_set initial)
{
    sets_.emplace_back(0, std::move(initial));
}

void keeper_members::append(std::uint64_t index, const schema::keeper_set& set)
{
    assert(index > current_index());
    sets_.emplace_back(index, set);
}

void keeper_members::truncate_from(std::uint64_t index)
{
    while (sets_.size() > 1 && current_index() >= index)
    {
        sets_.pop_back();
    }
}

void keeper_members::reset(std::uint64_t index, const schema::keeper_set& set)
{
    std::erase_if(sets_, [index](const auto& it) { return it.first <= index; });
    sets_.insert(sets_.begin(), {index, set});
}

void keeper_members::compact(std::uint64_t index)
{
    while (sets_.size() > 1 && sets_[1].first <= index)
    {
        sets_.erase(sets_.begin());
    }
}

const schema::keeper_set& keeper_members::at(std::uint64_t index) const
{
    const auto it = std::find_if(sets_.rbegin(), sets_.rend(),
                                 [index](const auto& set) { return set.first <= index; });
    return it == sets_.rend() ? sets_.front().second : it->second;
}

const schema::keeper_member* keeper_members::find(const std::string& name) const
{
    for (const auto& member : current().members())
    {
        if (member.name() == name)
        {
            return &member;
        }
    }
    return nullptr;
}

bool keeper_members::is_voter(const std::string& name) const
{
    const auto* member = find(name);
    return member != nullptr && member->voter();
}

std::size_t keeper_members::voter_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(current().members(), &schema::keeper_member::voter));
}

} // namespace savoryreach::keeper
