#include "savoryreach/entry/router.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/entry/admission.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

const route_member* select_home(const std::vector<route_member>& members, std::string_view id)
{
    const route_member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& it : members)
    {
        const auto weight = base::stable_hash(id, base::stable_hash(it.name.value()));
        if (best == nullptr || weight > best_weight)
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
    while (!past_.empty() && past_.front().replaced_at + view_memory < view.replaced_at)
    {
        past_.pop_front();
    }
    past_.push_back(std::move(view));
    if (past_.size() > max_past_views)
    {
        past_.pop_front();
        // The dropped view's homes are no longer known; the next one stands for both.
        past_.front().any_home = true;
    }
}

bool router::differs(const past_view& view, std::string_view submission_id) const
{
    if (view.any_home)
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

absl::Time router::hold_until(std::string_view submission_id, absl::Time now) const
{
    for (auto it = past_.rbegin(); it != past_.rend(); ++it)
    {
        const auto until = it->replaced_at + max_refusal_retry;
        if (until <= now)
        {
            break;
        }
        if (differs(*it, submission_id))
        {
            return until;
        }
    }
    return absl::InfinitePast();
}

bool router::had_other_home(std::string_view submission_id, absl::Time now) const
{
    return std::ranges::any_of(
        past_, [&](const past_view& it)
        { return it.replaced_at + view_memory > now && differs(it, submission_id); });
}

} // namespace savoryreach::entry
