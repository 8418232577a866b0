#include "savoryreach/dispatch/relay_path.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::dispatch
{

std::string relayed_link_name(const std::string& peer, const std::string& relay)
{
    return absl::StrCat(peer, " via ", relay);
}

void relay_path::set_relays(const std::vector<schema::core_address>& relays)
{
    const auto is_equal = [](const schema::core_address& a, const schema::core_address& b)
    {
        return a.name() == b.name() && a.address() == b.address();
    };
    if (std::ranges::equal(relays, known_, is_equal))
    {
        return;
    }
    known_ = relays;
    std::vector<std::pair<std::uint64_t, const schema::core_address*>> order;
    for (const auto& it : relays)
    {
        if (it.name() != self_)
        {
            order.emplace_back(base::stable_hash(absl::StrCat(self_, " ", it.name())), &it);
        }
    }
    std::ranges::sort(order);
    relays_.clear();
    for (const auto& [digest, it] : order)
    {
        relays_.push_back(*it);
    }
}

void relay_path::on_offer(const std::string& relay, const dispatcher_ref& dispatcher,
                          absl::Time now)
{
    const auto is_this = [&relay](const schema::core_address& it)
    {
        return it.name() == relay;
    };
    if (std::ranges::any_of(relays_, is_this))
    {
        offers_[relay] = {dispatcher, now};
    }
}

bool relay_path::is_usable(const std::string& relay, absl::Time now) const
{
    const auto it = offers_.find(relay);
    return it != offers_.end() && now < it->second.heard_at + offer_lifetime &&
           it->second.dispatcher.term >= last_term_;
}

bool relay_path::should_return(const direct_contact& direct) const
{
    return direct.dispatcher && answering_since_ < absl::InfiniteFuture() &&
           (direct.dispatcher->term > dispatcher_.term ||
            heard_at_ >= answering_since_ + stable_after);
}

void relay_path::leave(const char* reason)
{
    relay_.clear();
    leave_reason_ = reason;
}

bool relay_path::take(absl::Time now)
{
    for (const auto& it : relays_)
    {
        if (is_usable(it.name(), now))
        {
            relay_ = it.name();
            dispatcher_ = offers_.at(relay_).dispatcher;
            last_term_ = dispatcher_.term;
            return true;
        }
    }
    return false;
}

bool relay_path::update(const direct_contact& direct, absl::Time now)
{
    core_heard_at_ = std::max(core_heard_at_, direct.core_heard_at);
    bool answers = false;
    if (direct.dispatcher && direct.dispatcher->term >= last_term_)
    {
        last_term_ = direct.dispatcher->term;
        heard_at_ = std::max(heard_at_, direct.dispatcher_heard_at);
        answers = now < direct.dispatcher_heard_at + take_after;
    }
    answering_since_ = answers ? std::min(answering_since_, now) : absl::InfiniteFuture();

    if (relay_.empty())
    {
        return !answers && take(now);
    }
    if (should_return(direct))
    {
        leave("the direct link is back");
        return true;
    }
    if (!is_usable(relay_, now))
    {
        leave(offers_.contains(relay_) ? "the relay is silent" : "the relay has no dispatcher");
        if (!answers)
        {
            take(now);
        }
        return true;
    }
    const auto& offered = offers_.at(relay_).dispatcher;
    last_term_ = offered.term;
    return std::exchange(dispatcher_, offered) != offered;
}

std::vector<schema::core_address> relay_path::wanted(absl::Time now) const
{
    std::vector<schema::core_address> out;
    if (!relay_.empty())
    {
        std::ranges::copy_if(relays_, std::back_inserter(out),
                             [this](const auto& it) { return it.name() == relay_; });
        return out;
    }
    const auto dial_at =
        std::min(std::max(heard_at_, core_heard_at_) + dial_after, heard_at_ + election_patience);
    if (now < dial_at || heard_at_ == absl::InfinitePast())
    {
        return out;
    }
    const auto due = static_cast<std::size_t>((now - dial_at) / dial_interval) + 1;
    const auto n = std::min({due, max_dialled, relays_.size()});
    out.assign(relays_.begin(), relays_.begin() + static_cast<std::ptrdiff_t>(n));
    return out;
}

absl::Time relay_path::heard_at() const
{
    const auto it = offers_.find(relay_);
    return it == offers_.end() ? absl::InfinitePast() : it->second.heard_at;
}

} // namespace savoryreach::dispatch
