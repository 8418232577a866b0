#include "savoryreach/storage/log_recovery.hpp"

#include "savoryreach/storage/numbered_name.hpp"
#include "savoryreach/storage/snapshot_file.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
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
    if (!list_files() || !load_snapshot())
    {
        return std::nullopt;
    }
    for (const std::uint64_t sequence : sequences_)
    {
        if (!load_segment(sequence, sequence == sequences_.back()))
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
    const auto gap = std::ranges::adjacent_find(sequences_, [](std::uint64_t a, std::uint64_t b)
                                                { return b != a + 1; });
    return gap == sequences_.end() ||
           fail(absl::StrCat(folder_, "/", numbered_name(segment_prefix, *gap + 1),
                             ": segment is missing, offset 0"));
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
    for (const std::uint64_t index : snapshots_)
    {
        if (index != snapshots_.back() && !files.remove(index))
        {
            return fail(files.last_reason());
        }
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

bool log_recovery::load_segment(std::uint64_t sequence, bool is_newest)
{
    const std::string path = absl::StrCat(folder_, "/", numbered_name(segment_prefix, sequence));
    const auto bytes = disk_.read(path);
    if (!bytes)
    {
        return fail(disk_.last_reason());
    }
    record_log log(sequence);
    const auto read = log.read(*bytes, is_newest);
    if (!read)
    {
        return fail(path + ": " + log.last_reason());
    }
    // The newest segment has no records if its creation was interrupted.
    const bool is_unused = read->records.empty() && is_newest;
    if ((read->torn || is_unused) && !truncate_tail(path, bytes->size(), read->valid_bytes))
    {
        return false;
    }
    log_segment segment{sequence, 0};
    std::uint64_t at = record_log::file_header_bytes;
    for (const record& item : read->records)
    {
        if (!apply(item, at == record_log::file_header_bytes))
        {
            return fail(absl::StrCat(path, ": ", last_reason_, " at offset ", at));
        }
        if (item.type == record_type::entry)
        {
            segment.last_index = std::max(segment.last_index, item.index);
        }
        at += record_log::record_header_bytes + item.payload.size();
    }
    if (read->records.empty())
    {
        return is_unused || fail(absl::StrCat(path, ": segment has no base record, offset ", at));
    }
    content_.segments.push_back(segment);
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
    // Segments before the first one were removed, so its first index is known only from its base
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
    const std::uint64_t covered =
        content_.state.snapshot ? content_.state.snapshot->last_index() : 0;
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
