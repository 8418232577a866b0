#include "savoryreach/entry/forwarding.hpp"

#include "savoryreach/entry/answers.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryreach::entry
{
namespace
{

/// Enough doublings to reach max_resend_interval without overflow of the shift.
constexpr std::uint32_t max_doublings = 8;

} // namespace

forwarding::forwarding(entry_context& context, membership& members, router& routes, hooks handlers)
    : context_(context), members_(members), routes_(routes), hooks_(std::move(handlers)),
      last_id_(context.ports.random.next() >> 1U)
{
}

void forwarding::start(caller_request request, const base::node_name& home, bool is_owner)
{
    const auto id = ++last_id_;
    by_caller_[request.request_id] = id;
    auto& it = requests_[id];
    it.request = std::move(request);
    it.home = home;
    it.is_owner = is_owner;
    if (is_owner)
    {
        it.request.hops = std::max(it.request.hops + 1, hops_to_owner);
    }
    send(id, it);
}

void forwarding::erase(request_map::iterator found)
{
    by_caller_.erase(found->second.request.request_id);
    requests_.erase(found);
}

void forwarding::caller_disconnected(std::uint64_t request_id)
{
    const auto it = by_caller_.find(request_id);
    if (it != by_caller_.end())
    {
        erase(requests_.find(it->second));
    }
}

void forwarding::send(std::uint64_t id, pending& it)
{
    const auto now = context_.now();
    const auto interval = resend_interval * (1U << std::min(it.send_count++, max_doublings));
    it.send_at = now + std::min(interval, max_resend_interval);
    schema::envelope message;
    if (it.request.kind == request_kind::cancel)
    {
        auto& body = *message.mutable_forward_cancel();
        body.set_request_id(id);
        body.set_submission_id(it.request.submission.submission_id());
        body.set_hops(it.request.hops);
    }
    else
    {
        const auto remaining = it.request.answer_by - now - return_margin;
        auto& body = *message.mutable_forward_submit();
        body.set_request_id(id);
        *body.mutable_submission() = it.request.submission;
        body.set_hops(it.request.hops);
        body.set_remaining_ms(static_cast<std::uint32_t>(
            std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining))));
        body.set_respond_now(!it.request.wait);
        body.set_lookup_only(it.request.kind == request_kind::lookup);
    }
    context_.send(it.home, std::move(message));
}

void forwarding::receive(const base::node_name& from, const schema::forward_answer& answer)
{
    const auto found = requests_.find(answer.request_id());
    if (found == requests_.end())
    {
        return;
    }
    if (!answer.owner().empty())
    {
        // A redirect from an entry other than the current home is outdated.
        if (found->second.home == from)
        {
            redirect(found, base::node_name(answer.owner()), answer.hops());
        }
        return;
    }
    const auto request_id = found->second.request.request_id;
    erase(found);
    hooks_.answered(request_id, answer.answer());
}

void forwarding::redirect(request_map::iterator found, const base::node_name& owner,
                          std::uint32_t min_hops)
{
    auto& it = found->second;
    it.request.hops = std::max(it.request.hops + 1, min_hops);
    if (it.request.hops > max_hops)
    {
        // The entries have different views. These converge within one lease renewal.
        it.request.hops = 0;
        it.is_owner = false;
        it.send_at = context_.now() + resend_interval;
        return;
    }
    if (owner == context_.self)
    {
        auto request = std::move(it.request);
        erase(found);
        request.hops = std::max(request.hops, hops_to_owner);
        hooks_.handle_locally(std::move(request));
        return;
    }
    it.home = owner;
    it.is_owner = true;
    it.send_count = 0;
    send(found->first, it);
}

bool forwarding::choose_home(request_map::iterator found)
{
    auto& it = found->second;
    if (it.is_owner && members_.is_live(it.home))
    {
        return true;
    }
    it.is_owner = false;
    const auto home = routes_.home_of(it.request.submission.submission_id());
    if (!home || !members_.has_lease())
    {
        return true;
    }
    if (home->name == context_.self)
    {
        auto request = std::move(it.request);
        erase(found);
        hooks_.handle_locally(std::move(request));
        return false;
    }
    if (it.home != home->name)
    {
        it.send_count = 0;
    }
    it.home = home->name;
    return true;
}

void forwarding::resend_after_membership_change()
{
    if (membership_revision_ == members_.membership_revision())
    {
        return;
    }
    membership_revision_ = members_.membership_revision();
    for (auto& [id, it] : requests_)
    {
        it.send_at = context_.now();
        it.send_count = 0;
    }
}

void forwarding::tick()
{
    resend_after_membership_change();
    const auto now = context_.now();
    std::vector<std::uint64_t> due;
    for (const auto& [id, it] : requests_)
    {
        if (it.send_at <= now || it.request.answer_by <= now)
        {
            due.push_back(id);
        }
    }
    for (const auto id : due)
    {
        const auto found = requests_.find(id);
        if (found == requests_.end())
        {
            continue;
        }
        if (found->second.request.answer_by <= now)
        {
            const auto request = std::move(found->second.request);
            const auto home = found->second.home;
            erase(found);
            hooks_.answered(request.request_id,
                            error_answer(request.submission.submission_id(),
                                         {base::error_kind::unreachable,
                                          "no answer from home entry " + home.value()},
                                         base::not_run::unknown));
        }
        else if (choose_home(found))
        {
            send(id, found->second);
        }
    }
}

} // namespace savoryreach::entry
