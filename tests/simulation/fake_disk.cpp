#include "tests/simulation/fake_disk.hpp"

#include <cassert>
#include <utility>

namespace savoryreach::simulation
{

std::uint64_t fake_disk::queue(write it)
{
    queue_.emplace_back(++last_ticket_, std::move(it));
    if (sync_ends_at_ == absl::InfiniteFuture())
    {
        begin_sync();
    }
    return last_ticket_;
}

void fake_disk::begin_sync()
{
    syncing_ = last_ticket_;
    sync_ends_at_ = clock_.now() + sync_delay_;
}

std::optional<std::uint64_t> fake_disk::finish_due()
{
    if (failed_ || sync_ends_at_ > clock_.now())
    {
        return std::nullopt;
    }
    sync_ends_at_ = absl::InfiniteFuture();
    if (failing_)
    {
        failed_ = true;
        return std::nullopt;
    }
    while (!queue_.empty() && queue_.front().first <= syncing_)
    {
        queue_.front().second(durable_);
        queue_.pop_front();
    }
    const auto done = syncing_;
    if (!queue_.empty())
    {
        begin_sync();
    }
    return done;
}

void fake_disk::crash()
{
    queue_.clear();
    sync_ends_at_ = absl::InfiniteFuture();
}

void fake_disk::erase()
{
    crash();
    durable_ = {};
}

std::uint64_t fake_disk::append(std::vector<schema::log_entry> entries)
{
    return queue(
        [entries = std::move(entries)](keeper::stored_state& state)
        {
            for (const auto& entry : entries)
            {
                const auto end = !state.entries.empty() ? state.entries.back().index()
                                 : state.snapshot       ? state.snapshot->last_index()
                                                        : 0;
                // A gap or an overwrite would be a fault of the caller.
                assert(entry.index() == end + 1);
                state.entries.push_back(entry);
            }
        });
}

std::uint64_t fake_disk::truncate_from(std::uint64_t index)
{
    return queue(
        [index](keeper::stored_state& state)
        {
            std::erase_if(state.entries, [index](const schema::log_entry& entry)
                          { return entry.index() >= index; });
        });
}

std::uint64_t fake_disk::save_hard_state(const schema::hard_state& state)
{
    return queue(
        [state](keeper::stored_state& stored)
        {
            assert(state.term() >= stored.hard_state.term());
            stored.hard_state = state;
        });
}

std::uint64_t fake_disk::save_snapshot(const schema::ledger_snapshot& snapshot)
{
    return queue(
        [snapshot](keeper::stored_state& state)
        {
            state.snapshot = snapshot;
            std::erase_if(state.entries, [&](const schema::log_entry& entry)
                          { return entry.index() <= snapshot.last_index(); });
        });
}

} // namespace savoryreach::simulation
