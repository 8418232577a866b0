#include "savoryreach/storage/segment_writer.hpp"

#include "savoryreach/storage/numbered_name.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryreach::storage
{

segment_writer::segment_writer(disk& disk, std::string folder, std::uint64_t segment_bytes,
                               const log_recovery::content& recovered)
    : disk_(disk), folder_(std::move(folder)), segment_bytes_(segment_bytes),
      segments_(recovered.segments), hard_state_(recovered.state.hard_state),
      snapshots_(disk, folder_)
{
    if (recovered.state.snapshot)
    {
        base_index_ = recovered.state.snapshot->last_index();
    }
    next_index_ = recovered.state.entries.empty() ? base_index_ + 1
                                                  : recovered.state.entries.back().index() + 1;
}

std::string segment_writer::path_of(std::uint64_t sequence) const
{
    return folder_ + "/" + numbered_name(log_recovery::segment_prefix, sequence);
}

bool segment_writer::fail(const std::string& reason)
{
    last_reason_ = reason;
    return false;
}

bool segment_writer::start()
{
    return begin_segment() && remove_covered_segments();
}

bool segment_writer::begin_segment()
{
    const std::uint64_t sequence = segments_.empty() ? 1 : segments_.back().sequence + 1;
    const record_log log(sequence);
    std::string bytes = log.encode_file_header();
    log.encode({record_type::base, next_index_, base_index_, hard_state_.SerializeAsString()}, 0,
               bytes);
    file_ = disk_.create(path_of(sequence));
    if (!file_)
    {
        return fail(disk_.last_reason());
    }
    if (!file_->write(bytes) || !file_->sync())
    {
        return fail(file_->last_reason());
    }
    if (!disk_.sync_folder(folder_))
    {
        return fail(disk_.last_reason());
    }
    segments_.push_back({sequence, 0});
    synced_bytes_ = bytes.size();
    return true;
}

void segment_writer::add(const record& item)
{
    record_log(segments_.back().sequence).encode(item, synced_bytes_, pending_);
}

void segment_writer::add_entries(const std::vector<schema::log_entry>& entries)
{
    for (const schema::log_entry& it : entries)
    {
        assert(it.index() == next_index_);
        add({record_type::entry, it.term(), it.index(), it.SerializeAsString()});
        segments_.back().last_index = std::max(segments_.back().last_index, it.index());
        next_index_ = it.index() + 1;
    }
}

void segment_writer::add_truncation(std::uint64_t index)
{
    assert(index > base_index_);
    if (index < next_index_)
    {
        add({record_type::truncate, 0, index, ""});
        next_index_ = index;
    }
}

void segment_writer::add_hard_state(const schema::hard_state& state)
{
    hard_state_ = state;
    add({record_type::hard_state, state.term(), 0, state.SerializeAsString()});
}

bool segment_writer::flush()
{
    if (pending_.empty())
    {
        return true;
    }
    if (!file_->write(pending_) || !file_->sync())
    {
        const std::string reason = file_->last_reason();
        // A process that starts now must not read the unsynced records back.
        if (!discard_unsynced())
        {
            return fail(reason + "; removal of the unsynced records failed too: " + last_reason_);
        }
        return fail(reason);
    }
    synced_bytes_ += pending_.size();
    pending_.clear();
    return synced_bytes_ < segment_bytes_ || begin_segment();
}

bool segment_writer::discard_unsynced()
{
    return disk_.truncate(path_of(segments_.back().sequence), synced_bytes_) ||
           fail(disk_.last_reason());
}

bool segment_writer::save_snapshot(const schema::ledger_snapshot& snapshot)
{
    assert(pending_.empty());
    if (snapshot.last_index() <= base_index_)
    {
        return true;
    }
    if (!snapshots_.save(snapshot))
    {
        return fail(snapshots_.last_reason());
    }
    const std::uint64_t previous = base_index_;
    base_index_ = snapshot.last_index();
    next_index_ = std::max(next_index_, base_index_ + 1);
    if (!begin_segment() || !remove_covered_segments())
    {
        return false;
    }
    return previous == 0 || snapshots_.remove(previous) || fail(snapshots_.last_reason());
}

bool segment_writer::remove_covered_segments()
{
    // Not synced: a removed segment that a loss of power brings back is superseded, and recovery
    // removes it again.
    while (segments_.size() > 1 && segments_.front().last_index <= base_index_)
    {
        if (!disk_.remove(path_of(segments_.front().sequence)))
        {
            return fail(disk_.last_reason());
        }
        segments_.erase(segments_.begin());
    }
    return true;
}

} // namespace savoryreach::storage
