#include "savoryreach/keeper/claim_batcher.hpp"

namespace savoryreach::keeper
{
namespace
{

/// Limits a log entry to a few hundred kilobytes, so that its sync stays short.
constexpr int max_claims_per_group = 4096;
/// Limits the memory of waiting claims.
constexpr std::size_t max_waiting_claims = 200'000;

} // namespace

bool claim_batcher::add(const request_key& key, const schema::claim_batch& batch)
{
    const auto count = static_cast<std::size_t>(batch.claims_size());
    if (waiting_claims_ + count > max_waiting_claims)
    {
        return false;
    }
    waiting_claims_ += count;
    queues_[batch.owner_epoch()].waiting.emplace_back(key, batch);
    return true;
}

std::optional<claim_group> claim_batcher::next_group()
{
    for (auto& [epoch, queue] : queues_)
    {
        if (queue.in_log || queue.waiting.empty())
        {
            continue;
        }
        claim_group group;
        group.batch.set_owner_epoch(epoch);
        while (!queue.waiting.empty() && group.batch.claims_size() < max_claims_per_group)
        {
            auto& [key, batch] = queue.waiting.front();
            waiting_claims_ -= static_cast<std::size_t>(batch.claims_size());
            group.requests.emplace_back(std::move(key), batch.claims_size());
            group.batch.mutable_claims()->MergeFrom(batch.claims());
            queue.waiting.pop_front();
        }
        queue.in_log = true;
        return group;
    }
    return std::nullopt;
}

void claim_batcher::on_applied(std::uint64_t owner_epoch)
{
    const auto it = queues_.find(owner_epoch);
    if (it == queues_.end())
    {
        return;
    }
    it->second.in_log = false;
    if (it->second.waiting.empty())
    {
        queues_.erase(it);
    }
}

void claim_batcher::clear()
{
    queues_.clear();
    waiting_claims_ = 0;
}

} // namespace savoryreach::keeper
