#include "savoryreach/keeper/durable_log.hpp"

#include <algorithm>
#include <cassert>

namespace savoryreach::keeper
{

durable_log::durable_log(log_storage& storage, const stored_state& stored)
    : storage_(storage), hard_state_(stored.hard_state),
      entries_(stored.entries.begin(), stored.entries.end())
{
    if (stored.snapshot)
    {
        prefix_index_ = stored.snapshot->last_index();
        prefix_term_ = stored.snapshot->last_term();
    }
    assert(entries_.empty() || entries_.front().index() == first_index());
    synced_index_ = last_index();
}

std::optional<std::uint64_t> durable_log::term_at(std::uint64_t index) const
{
    if (index == prefix_index_)
    {
        return prefix_term_;
    }
    if (index < prefix_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term();
}

const schema::log_entry& durable_log::at(std::uint64_t index) const
{
    assert(index >= first_index() && index <= last_index());
    return entries_[index - first_index()];
}

void durable_log::append(std::vector<schema::log_entry> entries)
{
    assert(!entries.empty() && entries.front().index() == last_index() + 1);
    entries_.insert(entries_.end(), entries.begin(), entries.end());
    last_ticket_ = storage_.append(std::move(entries));
    unsynced_.emplace_back(last_ticket_, last_index());
}

void durable_log::truncate_from(std::uint64_t index)
{
    assert(index >= first_index());
    if (index > last_index())
    {
        return;
    }
    entries_.resize(index - first_index());
    // Durable or queued writes of the removed entries don't count for new entries at their indexes.
    synced_index_ = std::min(synced_index_, last_index());
    for (auto& it : unsynced_)
    {
        it.second = std::min(it.second, last_index());
    }
    last_ticket_ = storage_.truncate_from(index);
}

void durable_log::drop_prefix(std::uint64_t through)
{
    if (through <= prefix_index_)
    {
        return;
    }
    prefix_term_ = *term_at(through);
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(through - prefix_index_));
    prefix_index_ = through;
}

void durable_log::compact(const schema::ledger_snapshot& snapshot, std::uint64_t retained)
{
    assert(snapshot.last_index() <= last_index());
    last_ticket_ = storage_.save_snapshot(snapshot);
    drop_prefix(snapshot.last_index() - std::min(retained, snapshot.last_index()));
}

void durable_log::install_snapshot(const schema::ledger_snapshot& snapshot)
{
    const auto index = snapshot.last_index();
    const auto local_term = term_at(index);
    if (local_term && *local_term != snapshot.last_term())
    {
        truncate_from(index);
    }
    last_ticket_ = storage_.save_snapshot(snapshot);
    if (local_term && *local_term == snapshot.last_term())
    {
        drop_prefix(index);
    }
    else
    {
        entries_.clear();
        prefix_index_ = index;
        prefix_term_ = snapshot.last_term();
        unsynced_.clear();
    }
    unsynced_.emplace_back(last_ticket_, index);
}

void durable_log::save_hard_state(std::uint64_t term, const std::string& voted_for)
{
    hard_state_.set_term(term);
    hard_state_.set_voted_for(voted_for);
    last_ticket_ = storage_.save_hard_state(hard_state_);
    hard_state_ticket_ = last_ticket_;
}

void durable_log::persisted(std::uint64_t ticket)
{
    persisted_ticket_ = std::max(persisted_ticket_, ticket);
    while (!unsynced_.empty() && unsynced_.front().first <= persisted_ticket_)
    {
        synced_index_ = std::max(synced_index_, unsynced_.front().second);
        unsynced_.pop_front();
    }
}

} // namespace savoryreach::keeper
