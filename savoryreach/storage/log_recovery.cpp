#include "savoryreach/storage/log_recovery.hpp"

#include "savoryreach/storage/numbered_name.hpp"
#include "savoryreach/storage/snapshot_file.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savoryreach::storage
{

log_recovery::log_recovery(disk& disk, std::string folder) : disk_(disk), folder_(std::move(folder))
{
}

bool log_recovery::fail(std::string reason)
{
    last_reason_ = std::move(reason);
    return false;
}

std::optional<log_recovery::content> log_recovery::run()
{
    if (!list_files() || !load_snapshot() || !read_segments() || !sync_files() ||
        !remove_superseded_files())
    {
        return std::nullopt;
    }
    for (auto it = loaded_.rbegin(); it != loaded_.rend(); ++it)
    {
        if (!apply_segment(*it))
        {
            return std::nullopt;
        }
    }
    if (!check_completeness())
    {
        return std::nullopt;
    }
    return std::move(content_);
}

bool log_recovery::list_files()
{
    const auto names = disk_.list(folder_);
    if (!names)
    {
        return fail(disk_.last_reason());
    }
    for (const std::string& name : *names)
    {
        if (name.ends_with(temporary_suffix))
        {
            if (!disk_.remove(folder_ + "/" + name))
            {
                return fail(disk_.last_reason());
            }
            content_.repairs.push_back("removed incomplete file " + folder_ + "/" + name);
        }
        else if (const auto sequence = parse_number(name, segment_prefix))
        {
            sequences_.push_back(*sequence);
        }
        else if (const auto index = snapshot_file::index_of(name))
        {
            snapshots_.push_back(*index);
        }
    }
    return true;
}

std::string log_recovery::path_of(std::uint64_t sequence) const
{
    return absl::StrCat(folder_, "/", numbered_name(segment_prefix, sequence));
}

std::uint64_t log_recovery::covered_index() const
{
    return content_.state.snapshot ? content_.state.snapshot->last_index() : 0;
}

bool log_recovery::load_snapshot()
{
    if (snapshots_.empty())
    {
        return true;
    }
    snapshot_file files(disk_, folder_);
    content_.state.snapshot = files.load(snapshots_.back());
    if (!content_.state.snapshot)
    {
        return fail(files.last_reason());
    }
    return true;
}

bool log_recovery::truncate_tail(const std::string& path, std::uint64_t size, std::uint64_t valid)
{
    content_.repairs.push_back(
        absl::StrCat("truncated torn tail of ", path, " from ", size, " to ", valid, " bytes"));
    const bool keeps_records = valid > record_log::file_header_bytes;
    return (keeps_records ? disk_.truncate(path, valid) : disk_.remove(path)) ||
           fail(disk_.last_reason());
}

/// Reads back from the newest segment to the first one that is needed.
bool log_recovery::read_segments()
{
    const auto missing = [this](std::uint64_t sequence)
    {
        return fail(absl::StrCat(path_of(sequence),
                                 ": segment is missing, and the snapshot of index ",
                                 covered_index(), " does not replace it, offset 0"));
    };
    for (auto it = sequences_.rbegin(); it != sequences_.rend(); ++it)
    {
        const bool is_newest = it == sequences_.rbegin();
        if (!is_newest && *it + 1 != *std::prev(it))
        {
            return missing(*it + 1);
        }
        segment_content segment{*it, {}};
        if (!read_segment(is_newest, segment))
        {
            return false;
        }
        // The newest segment has no records if its creation was interrupted.
        if (segment.records.empty())
        {
            continue;
        }
        loaded_.push_back(std::move(segment));
        if (starts_within_snapshot(loaded_.back()))
        {
            return true;
        }
    }
    if (loaded_.empty())
    {
        return covered_index() == 0 ||
               fail(absl::StrCat(folder_, ": all segments after the snapshot of index ",
                                 covered_index(), " are missing, offset 0"));
    }
    return missing(loaded_.back().sequence - 1);
}

/// True when the log that \p segment continues ends within the snapshot. Earlier segments are then
/// superseded: the base record repeats the hard state, and the snapshot has the entries.
bool log_recovery::starts_within_snapshot(const segment_content& segment) const
{
    const record& base = segment.records.front();
    return base.type == record_type::base && base.term <= covered_index() + 1;
}

/// The end of a process keeps what it had written, synced or not. Nothing that was read may count
/// as durable, or be followed by later segments, before it is.
bool log_recovery::sync_files()
{
    const bool synced = loaded_.empty() || disk_.sync(path_of(loaded_.front().sequence));
    return (synced && disk_.sync_folder(folder_)) || fail(disk_.last_reason());
}

bool log_recovery::remove_superseded_files()
{
    snapshot_file files(disk_, folder_);
    for (const std::uint64_t index : snapshots_)
    {
        if (index != snapshots_.back() && !files.remove(index))
        {
            return fail(files.last_reason());
        }
    }
    for (const std::uint64_t sequence : sequences_)
    {
        if (loaded_.empty() || sequence >= loaded_.back().sequence)
        {
            break;
        }
        if (!disk_.remove(path_of(sequence)))
        {
            return fail(disk_.last_reason());
        }
        content_.repairs.push_back("removed superseded segment " + path_of(sequence));
    }
    return true;
}

bool log_recovery::read_segment(bool is_newest, segment_content& segment)
{
    const std::string path = path_of(segment.sequence);
    const auto bytes = disk_.read(path);
    if (!bytes)
    {
        return fail(disk_.last_reason());
    }
    record_log log(segment.sequence);
    auto read = log.read(*bytes, is_newest);
    if (!read)
    {
        return fail(path + ": " + log.last_reason());
    }
    segment.records = std::move(read->records);
    if (segment.records.empty() && !is_newest)
    {
        return fail(absl::StrCat(path, ": segment has no base record, offset ",
                                 record_log::file_header_bytes));
    }
    return !(read->torn || segment.records.empty()) ||
           truncate_tail(path, bytes->size(), read->valid_bytes);
}

bool log_recovery::apply_segment(const segment_content& segment)
{
    log_segment out{segment.sequence, 0};
    std::uint64_t at = record_log::file_header_bytes;
    for (const record& item : segment.records)
    {
        if (!apply(item, at == record_log::file_header_bytes))
        {
            return fail(
                absl::StrCat(path_of(segment.sequence), ": ", last_reason_, " at offset ", at));
        }
        if (item.type == record_type::entry)
        {
            out.last_index = std::max(out.last_index, item.index);
        }
        at += record_log::record_header_bytes + item.payload.size();
    }
    content_.segments.push_back(out);
    return true;
}

bool log_recovery::apply(const record& item, bool is_first)
{
    if (is_first != (item.type == record_type::base))
    {
        return fail("base record is missing or misplaced");
    }
    auto& entries = content_.state.entries;
    switch (item.type)
    {
    case record_type::base:
        return apply_base(item);
    case record_type::entry:
        return apply_entry(item);
    case record_type::truncate:
        while (!entries.empty() && entries.back().index() >= item.index)
        {
            entries.pop_back();
        }
        next_index_ = item.index;
        return true;
    case record_type::hard_state:
        return content_.state.hard_state.ParseFromString(item.payload) ||
               fail("payload is not a hard_state");
    }
    return fail("unknown record type");
}

bool log_recovery::apply_base(const record& item)
{
    if (item.index < base_index_)
    {
        return fail("snapshot index of the base record decreases");
    }
    base_index_ = item.index;
    std::erase_if(content_.state.entries,
                  [&](const schema::log_entry& it) { return it.index() <= base_index_; });
    // The entries may end before a snapshot received from the leader, or continue after a snapshot.
    // Segments before the first one are superseded, so its first index is known only from its base
    // record.
    const bool is_first_segment = content_.segments.empty();
    const std::uint64_t expected =
        is_first_segment ? item.term : std::max(next_index_, base_index_ + 1);
    if (item.term != expected)
    {
        return fail(absl::StrCat("base record expects entry ", item.term, ", log continues with ",
                                 expected));
    }
    next_index_ = item.term;
    return content_.state.hard_state.ParseFromString(item.payload) ||
           fail("payload is not a hard_state");
}

bool log_recovery::apply_entry(const record& item)
{
    schema::log_entry entry;
    if (!entry.ParseFromString(item.payload) || entry.index() != item.index ||
        entry.term() != item.term)
    {
        return fail("payload is not the log_entry of the record header");
    }
    if (item.index != next_index_)
    {
        return fail(absl::StrCat("entry has index ", item.index, ", expected ", next_index_));
    }
    content_.state.entries.push_back(std::move(entry));
    next_index_ = item.index + 1;
    return true;
}

bool log_recovery::check_completeness()
{
    const std::uint64_t covered = covered_index();
    if (base_index_ > covered)
    {
        return fail(absl::StrCat(folder_, ": log begins after the snapshot of index ", base_index_,
                                 ", which is missing; newest is ", covered, ", offset 0"));
    }
    auto& entries = content_.state.entries;
    std::erase_if(entries, [&](const schema::log_entry& it) { return it.index() <= covered; });
    if (!entries.empty() && entries.front().index() != covered + 1)
    {
        return fail(absl::StrCat(folder_, ": entries ", covered + 1, " to ",
                                 entries.front().index() - 1, " are missing, offset 0"));
    }
    return true;
}

} // namespace savoryreach::storage
