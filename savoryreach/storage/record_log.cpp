#include "savoryreach/storage/record_log.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/storage/little_endian.hpp"

#include <absl/strings/str_cat.h>

#include <cassert>

namespace savoryreach::storage
{
namespace
{

constexpr std::string_view magic = "SVRYLOG\n";
constexpr std::size_t file_checked_bytes = 24;
constexpr std::size_t record_checked_bytes = 24;
constexpr std::size_t record_payload_checksum_at = 32;
// Smallest unit that a disk writes; a gap left by an interrupted write starts at a multiple of it.
constexpr std::uint64_t sector_bytes = 512;

/// An interrupted write can leave the file at its new size with its last sectors unwritten, which
/// read as zeros. True when such a gap starts in [from, to) and extends to the end of the file.
bool ends_in_unwritten_sectors(std::string_view bytes, std::uint64_t from, std::uint64_t to)
{
    const auto last = bytes.find_last_not_of('\0');
    const std::uint64_t zeros_from = last == std::string_view::npos ? 0 : last + 1;
    const std::uint64_t hole_from = (zeros_from + sector_bytes - 1) / sector_bytes * sector_bytes;
    return zeros_from <= from || hole_from < to;
}

bool is_known_type(std::uint32_t type)
{
    return type >= static_cast<std::uint32_t>(record_type::base) &&
           type <= static_cast<std::uint32_t>(record_type::hard_state);
}

} // namespace

std::uint64_t record_log::checksum_seed(std::uint64_t offset) const
{
    constexpr std::uint64_t odd_factor = 0x9e3779b97f4a7c15ULL;
    return sequence_ * odd_factor + offset;
}

bool record_log::fail(std::uint64_t offset, std::string_view problem)
{
    last_reason_ =
        absl::StrCat(absl::string_view(problem.data(), problem.size()), " at offset ", offset);
    return false;
}

std::string record_log::encode_file_header() const
{
    std::string out(magic);
    put_u32(out, format_version);
    put_u32(out, 0);
    put_u64(out, sequence_);
    assert(out.size() == file_checked_bytes);
    put_u64(out, base::stable_hash(out));
    return out;
}

void record_log::encode(const record& item, std::uint64_t offset, std::string& out) const
{
    assert(item.payload.size() <= max_payload_bytes);
    const std::size_t start = out.size();
    const std::uint64_t at = offset + start;
    put_u32(out, static_cast<std::uint32_t>(item.payload.size()));
    put_u32(out, static_cast<std::uint32_t>(item.type));
    put_u64(out, item.term);
    put_u64(out, item.index);
    put_u64(out, base::stable_hash(std::string_view(out).substr(start), checksum_seed(at)));
    put_u64(out, base::stable_hash(item.payload, checksum_seed(at)));
    out += item.payload;
}

bool record_log::check_file_header(std::string_view bytes)
{
    if (bytes.substr(0, magic.size()) != magic)
    {
        return fail(0, "not a log segment: wrong magic");
    }
    if (get_u64(bytes, file_checked_bytes) !=
        base::stable_hash(bytes.substr(0, file_checked_bytes)))
    {
        return fail(0, "file header checksum mismatch");
    }
    if (get_u32(bytes, magic.size()) != format_version)
    {
        return fail(magic.size(),
                    absl::StrCat("unknown log format version ", get_u32(bytes, magic.size()),
                                 ", expected ", format_version));
    }
    return get_u64(bytes, 2 * magic.size()) == sequence_ ||
           fail(2 * magic.size(), "segment number differs from the file name");
}

std::optional<record_log::content> record_log::read(std::string_view bytes, bool may_be_torn)
{
    content result;
    const auto torn_or_fail = [&](std::uint64_t at, std::uint64_t end, std::string_view problem)
    {
        result.valid_bytes = at;
        result.torn =
            may_be_torn && (end > bytes.size() || ends_in_unwritten_sectors(bytes, at, end));
        if (!result.torn)
        {
            fail(at, problem);
            return std::optional<content>();
        }
        return std::optional(std::move(result));
    };
    if (bytes.size() < file_header_bytes || bytes.find_first_not_of('\0') == bytes.npos)
    {
        return torn_or_fail(0, bytes.size() + 1, "incomplete file header");
    }
    if (!check_file_header(bytes))
    {
        return std::nullopt;
    }
    std::uint64_t at = file_header_bytes;
    while (at < bytes.size())
    {
        const std::string_view rest = bytes.substr(at);
        if (rest.size() < record_header_bytes)
        {
            return torn_or_fail(at, at + record_header_bytes, "incomplete record header");
        }
        if (get_u64(rest, record_checked_bytes) !=
            base::stable_hash(rest.substr(0, record_checked_bytes), checksum_seed(at)))
        {
            return torn_or_fail(at, at + record_header_bytes, "record header checksum mismatch");
        }
        const std::uint64_t length = get_u32(rest, 0);
        const std::uint64_t end = at + record_header_bytes + length;
        if (end > bytes.size())
        {
            return torn_or_fail(at, end, "incomplete record");
        }
        const std::string_view payload = rest.substr(record_header_bytes, length);
        if (get_u64(rest, record_payload_checksum_at) !=
            base::stable_hash(payload, checksum_seed(at)))
        {
            return torn_or_fail(at, end, "record payload checksum mismatch");
        }
        const std::uint32_t type = get_u32(rest, 4);
        if (!is_known_type(type))
        {
            fail(at, absl::StrCat("unknown record type ", type));
            return std::nullopt;
        }
        result.records.push_back({static_cast<record_type>(type), get_u64(rest, 8),
                                  get_u64(rest, 16), std::string(payload)});
        at = end;
    }
    result.valid_bytes = at;
    return result;
}

} // namespace savoryreach::storage
