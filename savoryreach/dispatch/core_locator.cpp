#include "savoryreach/dispatch/core_locator.hpp"

#include <algorithm>

namespace savoryreach::dispatch
{
namespace
{

absl::btree_set<std::string> addresses_of(const std::vector<schema::core_address>& members)
{
    absl::btree_set<std::string> out;
    for (const auto& it : members)
    {
        out.insert(it.address());
    }
    return out;
}

} // namespace

bool core_locator::on_view(const std::string& from, const schema::core_view& view, absl::Time now)
{
    const auto before = addresses_of(members_);
    // Within a term the leader's own list takes precedence over a relayed one.
    if (view.members_size() > 0 &&
        (view.term() > members_term_ || (view.term() == members_term_ && view.serving())))
    {
        for (const auto& it : members_)
        {
            former_.insert(it.address());
        }
        members_term_ = view.term();
        members_.assign(view.members().begin(), view.members().end());
    }
    if (view.serving())
    {
        if (view.relays_size() > 0 && view.term() >= members_term_)
        {
            relays_.assign(view.relays().begin(), view.relays().end());
        }
        if (!dispatcher_ || view.term() >= dispatcher_->term)
        {
            dispatcher_ = dispatcher_ref{from, view.term()};
            confirmed_at_ = now;
        }
    }
    else if (dispatcher_ && dispatcher_->name == from)
    {
        dispatcher_.reset();
    }
    return addresses_of(members_) != before;
}

void core_locator::on_down(const std::string& peer)
{
    if (dispatcher_ && dispatcher_->name == peer)
    {
        dispatcher_.reset();
    }
}

std::optional<dispatcher_ref> core_locator::dispatcher(absl::Time now) const
{
    return dispatcher_ && confirmed_at_ + confirmation_lifetime > now ? dispatcher_ : std::nullopt;
}

std::vector<std::string> core_locator::addresses(absl::Time now) const
{
    auto out = addresses_of(members_);
    if (!dispatcher(now))
    {
        out.insert(seeds_.begin(), seeds_.end());
        out.insert(former_.begin(), former_.end());
    }
    return {out.begin(), out.end()};
}

schema::core_view core_locator::relayed_view() const
{
    schema::core_view out;
    out.set_term(members_term_);
    for (const auto& it : members_)
    {
        *out.add_members() = it;
    }
    return out;
}

} // namespace savoryreach::dispatch
