#include "savoryreach/agent/inquiry_table.hpp"

namespace savoryreach::agent
{
namespace
{

/// Askers repeat their inquiry every second; an asker is considered gone after three are missing.
constexpr absl::Duration inquiry_timeout = absl::Seconds(3);
/// Further replies are sent for this time after the latest inquiry.
constexpr absl::Duration inquiry_retention = absl::Seconds(60);
/// Total size of the results in one reply. Tasks whose results don't fit are listed as not ended;
/// their results are sent in the replies to repeated inquiries.
constexpr std::size_t max_reply_bytes = 4 << 20;

} // namespace

void inquiry_table::add_inquiry(const base::node_name& asker, const schema::inquiry& inquiry,
                                absl::Time now)
{
    auto& state = askers_[{inquiry.dead_epoch(), asker}];
    state.request_id = inquiry.request_id();
    state.asked_at = now;
    state.is_reply_due = true;
}

void inquiry_table::task_ended(std::uint64_t epoch)
{
    for (auto it = askers_.lower_bound({epoch, base::node_name()});
         it != askers_.end() && it->first.first == epoch; ++it)
    {
        it->second.is_reply_due = true;
    }
}

bool inquiry_table::has_active_inquiry(std::uint64_t epoch, absl::Time now) const
{
    for (auto it = askers_.lower_bound({epoch, base::node_name()});
         it != askers_.end() && it->first.first == epoch; ++it)
    {
        if (now - it->second.asked_at < inquiry_timeout)
        {
            return true;
        }
    }
    return false;
}

schema::inquiry_reply inquiry_table::make_reply(std::uint64_t epoch, asker_state& asker,
                                                const start_record& records)
{
    schema::inquiry_reply reply;
    reply.set_request_id(asker.request_id);
    reply.set_dead_epoch(epoch);
    const auto resume_after = std::exchange(asker.continue_after, std::nullopt);
    std::size_t bytes = 0;
    std::optional<base::attempt_id> last;
    bool is_full = false;
    records.for_each(
        [&](const start_record::attempt& entry)
        {
            if (entry.epoch != epoch)
            {
                return;
            }
            auto& task = *reply.add_tasks();
            task.set_submission_id(entry.id.submission_id);
            task.set_task(entry.id.task);
            task.set_attempt(entry.id.attempt);
            if (!entry.is_ended || (resume_after && entry.id <= *resume_after))
            {
                return;
            }
            is_full =
                is_full || (bytes > 0 && bytes + entry.result.ByteSizeLong() > max_reply_bytes);
            if (!is_full)
            {
                bytes += entry.result.ByteSizeLong();
                task.set_ended(true);
                *task.mutable_result() = entry.result;
                last = entry.id;
            }
        });
    if (is_full)
    {
        asker.continue_after = last;
    }
    return reply;
}

std::vector<std::pair<base::node_name, schema::inquiry_reply>>
inquiry_table::take_replies(const start_record& records)
{
    std::vector<std::pair<base::node_name, schema::inquiry_reply>> replies;
    for (auto& [key, state] : askers_)
    {
        if (state.is_reply_due)
        {
            state.is_reply_due = false;
            replies.emplace_back(key.second, make_reply(key.first, state, records));
        }
    }
    return replies;
}

void inquiry_table::expire(absl::Time now)
{
    absl::erase_if(askers_, [now](const auto& item)
                   { return now - item.second.asked_at > inquiry_retention; });
}

} // namespace savoryreach::agent
