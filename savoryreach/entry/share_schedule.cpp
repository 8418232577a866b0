#include "savoryreach/entry/share_schedule.hpp"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <cassert>

namespace savoryreach::entry
{
namespace
{

/// A share that is active but not eligible (no endpoint with credit) may fall behind by this many
/// slot seconds and catch up later. Without a bound it would monopolise the slots after an outage
/// of its endpoints; without any allowance it would lose its part of the shared endpoints.
constexpr double max_lag_slot_s = 1.0;

} // namespace

share_schedule::share_state& share_schedule::at(id share)
{
    if (share >= shares_.size())
    {
        shares_.resize(share + 1);
    }
    return shares_[share];
}

void share_schedule::insert_ordered(id share)
{
    const share_state& s = shares_[share];
    by_key_.emplace(s.start - s.advance / s.weight, share);
    by_start_.emplace(s.start, share);
    active_weight_ += s.weight;
}

void share_schedule::erase_ordered(id share)
{
    const share_state& s = shares_[share];
    by_key_.erase({s.start - s.advance / s.weight, share});
    by_start_.erase({s.start, share});
    active_weight_ -= s.weight;
    // Clears the rounding errors of the sum.
    if (by_key_.empty())
    {
        active_weight_ = 0;
    }
}

void share_schedule::set_weight(id share, double weight)
{
    assert(weight > 0);
    share_state& s = at(share);
    if (s.weight == weight)
    {
        return;
    }
    if (s.active)
    {
        erase_ordered(share);
    }
    s.weight = weight;
    if (s.active)
    {
        insert_ordered(share);
    }
}

void share_schedule::set_advance(id share, double slot_seconds)
{
    share_state& s = at(share);
    if (s.advance == slot_seconds)
    {
        return;
    }
    if (s.active)
    {
        erase_ordered(share);
    }
    s.advance = slot_seconds;
    if (s.active)
    {
        insert_ordered(share);
    }
}

void share_schedule::activate(id share)
{
    share_state& s = at(share);
    if (s.active)
    {
        return;
    }
    // No share was active in the meantime, so none may catch up.
    if (by_key_.empty())
    {
        virtual_time_ = std::max(virtual_time_, highest_finish_);
    }
    s.active = true;
    s.start = std::max(s.start, virtual_time_);
    s.min_start = virtual_time_;
    insert_ordered(share);
}

void share_schedule::deactivate(id share)
{
    share_state& s = at(share);
    if (!s.active)
    {
        return;
    }
    erase_ordered(share);
    s.active = false;
}

void share_schedule::move_start(id share, double start)
{
    erase_ordered(share);
    shares_[share].start = start;
    insert_ordered(share);
}

std::optional<share_schedule::id> share_schedule::pick()
{
    if (by_key_.empty())
    {
        return std::nullopt;
    }
    virtual_time_ = std::max(virtual_time_, by_start_.begin()->first);
    return by_key_.begin()->second;
}

std::optional<share_schedule::id> share_schedule::pick(absl::FunctionRef<bool(id)> is_eligible)
{
    absl::InlinedVector<id, 8> skipped;
    std::optional<id> picked;
    for (const auto& [key, share] : by_key_)
    {
        if (is_eligible(share))
        {
            picked = share;
            break;
        }
        skipped.push_back(share);
    }
    if (!picked)
    {
        return std::nullopt;
    }
    for (const auto& [start, share] : by_start_)
    {
        if (std::find(skipped.begin(), skipped.end(), share) != skipped.end())
        {
            continue;
        }
        if (share != *picked && !is_eligible(share))
        {
            continue;
        }
        virtual_time_ = std::max(virtual_time_, start);
        break;
    }
    for (const id share : skipped)
    {
        const double lowest = virtual_time_ - max_lag_slot_s / shares_[share].weight;
        if (shares_[share].start < lowest)
        {
            move_start(share, lowest);
        }
    }
    return picked;
}

void share_schedule::charge(id share, double slot_seconds)
{
    share_state& s = at(share);
    const double start = std::max(s.min_start, s.start + slot_seconds / s.weight);
    highest_finish_ = std::max(highest_finish_, start);
    if (s.active)
    {
        move_start(share, start);
    }
    else
    {
        s.start = start;
    }
}

bool share_schedule::is_active(id share) const
{
    return share < shares_.size() && shares_[share].active;
}

double share_schedule::fraction(id share, double new_weight) const
{
    const double own = share < shares_.size() ? shares_[share].weight : new_weight;
    const double total = active_weight_ + (is_active(share) ? 0.0 : own);
    return own / total;
}

} // namespace savoryreach::entry
