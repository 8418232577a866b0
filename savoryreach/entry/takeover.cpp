#include "savoryreach/entry/takeover.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::entry
{

takeover::takeover(entry_context& context, keeper_client& keepers, std::uint64_t dead_epoch,
                   std::uint64_t own_epoch)
    : context_(context), keepers_(keepers), dead_epoch_(dead_epoch), own_epoch_(own_epoch),
      request_id_(context.ports.random.next()), query_at_(context.now())
{
    context_.ports.events.record("takeover_started", {{"epoch", absl::StrCat(dead_epoch_)}});
    query_keepers();
}

void takeover::query_keepers()
{
    is_query_in_flight_ = true;
    schema::keeper_request request;
    request.mutable_fence_info()->set_epoch(dead_epoch_);
    // The owner destroys takeovers only after it has cancelled all keeper requests.
    keepers_.call(std::move(request),
                  [this](const schema::keeper_reply& reply, absl::Time)
                  {
                      is_query_in_flight_ = false;
                      start_inquiries(reply.fence_info(), context_.now());
                  });
}

void takeover::start_inquiries(const schema::fence_info_reply& reply, absl::Time now)
{
    if (!reply.fenced())
    {
        query_at_ = now + resend_interval;
        return;
    }
    fenced_at_ = now;
    for (const auto& it : reply.agents())
    {
        const agent_instance agent{base::node_name(it.name()), it.incarnation()};
        auto& inquiry = agents_[agent];
        inquiry.last_reply_at = now;
        inquiry.send_at = now + resend_interval;
        send_inquiry(agent);
    }
    report_if_finished();
}

void takeover::send_inquiry(const agent_instance& agent)
{
    schema::envelope message;
    auto& body = *message.mutable_inquiry();
    body.set_request_id(request_id_);
    body.set_dead_epoch(dead_epoch_);
    body.set_asker(context_.self.value());
    body.set_asker_epoch(own_epoch_);
    context_.send(agent.name, std::move(message));
}

bool takeover::receive(const base::node_name& from, const schema::inquiry_reply& reply)
{
    if (reply.request_id() != request_id_ || from.value() != reply.agent())
    {
        return false;
    }
    for (auto& [agent, inquiry] : agents_)
    {
        if (agent.name != from)
        {
            continue;
        }
        if (agent.incarnation == reply.incarnation())
        {
            // An answer after the deadline is still valid for this incarnation.
            inquiry.has_answered = true;
            inquiry.is_unresolved = false;
            inquiry.last_reply_at = context_.now();
            // The agent lets running tasks of the epoch continue only while inquiries about them
            // arrive.
            inquiry.is_watched = std::ranges::any_of(
                reply.tasks(), [](const schema::started_task& it) { return !it.ended(); });
            inquiry.send_at = context_.now() + watch_interval;
            store_starts(agent, reply);
        }
        else if (agent.incarnation < reply.incarnation())
        {
            inquiry.is_replaced = true;
            inquiry.is_unresolved = !inquiry.has_answered;
        }
    }
    report_if_finished();
    return true;
}

void takeover::store_starts(const agent_instance& agent, const schema::inquiry_reply& reply)
{
    for (const auto& start : reply.tasks())
    {
        auto& records = records_[start.submission_id()];
        const auto same = [&](const start_record& it)
        {
            return it.agent == agent && it.start.task() == start.task() &&
                   it.start.attempt() == start.attempt();
        };
        const auto known = std::ranges::find_if(records, same);
        if (known == records.end())
        {
            records.push_back(start_record{agent, start});
        }
        else if (start.ended())
        {
            // A reply sent before the end of the attempt may arrive after the report of the end, so
            // an ended record is never replaced by one that has not ended.
            known->start = start;
        }
    }
}

void takeover::tick()
{
    const auto now = context_.now();
    if (fenced_at_ == absl::InfiniteFuture())
    {
        if (!is_query_in_flight_ && now >= query_at_)
        {
            query_keepers();
        }
        return;
    }
    for (auto& [agent, it] : agents_)
    {
        const bool is_open = !it.has_answered && !it.is_unresolved;
        if (is_open && fenced_at_ + inquiry_deadline <= now)
        {
            it.is_unresolved = true;
            continue;
        }
        const bool is_watched = it.is_watched && !is_unresponsive(agent);
        if ((is_open || is_watched) && !it.is_replaced && it.send_at <= now)
        {
            it.send_at = now + (is_open ? resend_interval : watch_interval);
            send_inquiry(agent);
        }
    }
    report_if_finished();
}

bool takeover::is_inquiry_complete() const
{
    return fenced_at_ != absl::InfiniteFuture() &&
           std::ranges::all_of(agents_, [](const auto& it)
                               { return it.second.has_answered || it.second.is_unresolved; });
}

bool takeover::has_unresolved() const
{
    return std::ranges::any_of(agents_, [](const auto& it) { return it.second.is_unresolved; });
}

bool takeover::is_unresponsive(const agent_instance& agent) const
{
    const auto it = agents_.find(agent);
    return it == agents_.end() || it->second.last_reply_at + watch_deadline <= context_.now();
}

const std::vector<start_record>& takeover::records_of(const std::string& id) const
{
    static const std::vector<start_record> none;
    const auto it = records_.find(id);
    return it != records_.end() ? it->second : none;
}

void takeover::report_if_finished()
{
    if (!is_reported_ && is_inquiry_complete())
    {
        is_reported_ = true;
        context_.ports.events.record("takeover_finished",
                                     {{"epoch", absl::StrCat(dead_epoch_)},
                                      {"agents", absl::StrCat(agents_.size())},
                                      {"unresolved", has_unresolved() ? "yes" : "no"}});
    }
}

} // namespace savoryreach::entry
