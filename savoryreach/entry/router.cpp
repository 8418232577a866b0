#include "savoryreach/entry/router.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/entry/admission.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

const route_member* select_home(const std::vector<route_member>& members, std::string_view id,
                                const base::node_name& excluded = base::node_name())
{
    const route_member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& it : members)
    {
        const auto weight = base::stable_hash(id, base::stable_hash(it.name.value()));
        if (it.name != excluded && (best == nullptr || weight > best_weight))
        {
            best = &it;
            best_weight = weight;
        }
    }
    return best;
}

void sort_by_name(std::vector<route_member>& members)
{
    std::ranges::sort(members, {}, &route_member::name);
}

} // namespace

void router::restart(std::vector<route_member> members, bool has_predecessors, absl::Time now)
{
    past_.clear();
    sort_by_name(members);
    members_ = std::move(members);
    if (has_predecessors)
    {
        past_.push_back(past_view{{}, now, true});
    }
}

void router::update(std::vector<route_member> members, absl::Time now)
{
    sort_by_name(members);
    if (members == members_)
    {
        return;
    }
    remember(past_view{std::move(members_), now, false});
    members_ = std::move(members);
}

void router::remember(past_view view)
{
    while (!past_.empty() && past_.front().replaced_at + view_retention < view.replaced_at)
    {
        past_.pop_front();
    }
    past_.push_back(std::move(view));
    if (past_.size() > max_past_views)
    {
        past_.pop_front();
        // The homes in the dropped view are no longer known, so the next view is treated as one in
        // which any entry may have been the home.
        past_.front().is_home_unknown = true;
    }
}

bool router::had_different_home(const past_view& view, std::string_view submission_id) const
{
    if (view.is_home_unknown)
    {
        return true;
    }
    const auto* before = select_home(view.members, submission_id);
    const auto* after = select_home(members_, submission_id);
    return before != nullptr && (after == nullptr || *before != *after);
}

std::optional<route_member> router::home_of(std::string_view submission_id) const
{
    const auto* home = select_home(members_, submission_id);
    return home != nullptr ? std::optional(*home) : std::nullopt;
}

std::optional<route_member> router::home_without(const base::node_name& excluded,
                                                 std::string_view submission_id) const
{
    const auto* home = select_home(members_, submission_id, excluded);
    return home != nullptr ? std::optional(*home) : std::nullopt;
}

bool router::had_other_home_without(const base::node_name& excluded, std::string_view submission_id,
                                    absl::Time now) const
{
    const auto current = home_without(excluded, submission_id);
    const auto differs_now = [&](const past_view& it)
    {
        const auto* before = select_home(it.members, submission_id, excluded);
        return it.replaced_at + max_refusal_retry > now && before != nullptr &&
               (!current || *before != *current);
    };
    return std::ranges::any_of(past_, differs_now);
}

absl::Time router::hold_until(std::string_view submission_id, absl::Time now) const
{
    for (auto it = past_.rbegin(); it != past_.rend(); ++it)
    {
        const auto until = it->replaced_at + max_refusal_retry;
        if (until <= now)
        {
            break;
        }
        // A former home that is still live is queried by former_home_client instead.
        const auto* before = select_home(it->members, submission_id);
        const bool has_left = it->is_home_unknown || (before != nullptr && !is_member(*before));
        if (has_left && had_different_home(*it, submission_id))
        {
            return until;
        }
    }
    return absl::InfinitePast();
}

bool router::is_member(const route_member& it) const
{
    return std::ranges::find(members_, it) != members_.end();
}

std::vector<route_member> router::former_homes(std::string_view submission_id,
                                               const base::node_name& self, absl::Time now) const
{
    std::vector<route_member> homes;
    const auto add = [&](const route_member& it)
    {
        if (it.name != self && is_member(it) && std::ranges::find(homes, it) == homes.end())
        {
            homes.push_back(it);
        }
    };
    for (const auto& it : past_)
    {
        if (it.replaced_at + max_stale_view_time + max_refusal_retry <= now)
        {
            continue;
        }
        if (it.is_home_unknown)
        {
            std::ranges::for_each(members_, add);
        }
        else if (const auto* home = select_home(it.members, submission_id))
        {
            add(*home);
        }
    }
    return homes;
}

bool router::had_other_home(std::string_view submission_id, absl::Time now) const
{
    return std::ranges::any_of(
        past_, [&](const past_view& it)
        { return it.replaced_at + view_retention > now && had_different_home(it, submission_id); });
}

} // namespace savoryreach::entry
