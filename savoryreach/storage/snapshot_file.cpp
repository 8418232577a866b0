#include "savoryreach/storage/snapshot_file.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/storage/little_endian.hpp"
#include "savoryreach/storage/numbered_name.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace savoryreach::storage
{
namespace
{

constexpr std::string_view prefix = "snapshot-";
constexpr std::string_view magic = "SVRYSNP\n";
// magic, format version, reserved, last index, payload length
constexpr std::size_t header_bytes = 32;
constexpr std::size_t checksum_bytes = 8;

std::optional<std::string> encode(const schema::ledger_snapshot& snapshot)
{
    std::string payload;
    if (!snapshot.SerializeToString(&payload))
    {
        return std::nullopt;
    }
    std::string out(magic);
    put_u32(out, snapshot_file::format_version);
    put_u32(out, 0);
    put_u64(out, snapshot.last_index());
    put_u64(out, payload.size());
    out += payload;
    put_u64(out, base::stable_hash(out));
    return out;
}

/// Describes the damage in the bytes of a snapshot file; empty when there is none.
std::string find_damage(std::string_view bytes, std::uint64_t index)
{
    if (bytes.size() < header_bytes + checksum_bytes)
    {
        return absl::StrCat("incomplete at offset ", bytes.size());
    }
    if (bytes.substr(0, magic.size()) != magic)
    {
        return "not a snapshot: wrong magic at offset 0";
    }
    const std::size_t body = bytes.size() - checksum_bytes;
    if (get_u64(bytes, 24) != body - header_bytes)
    {
        return absl::StrCat("length at offset 24 is ", get_u64(bytes, 24), ", file has ",
                            body - header_bytes);
    }
    if (get_u64(bytes, body) != base::stable_hash(bytes.substr(0, body)))
    {
        return absl::StrCat("checksum mismatch over bytes 0 to ", body, ", stored at offset ",
                            body);
    }
    if (get_u32(bytes, magic.size()) != snapshot_file::format_version)
    {
        return absl::StrCat("unknown snapshot format version ", get_u32(bytes, magic.size()),
                            " at offset ", magic.size());
    }
    return get_u64(bytes, 16) == index ? "" : "last index at offset 16 differs from the file name";
}

} // namespace

snapshot_file::snapshot_file(disk& disk, std::string folder)
    : disk_(disk), folder_(std::move(folder))
{
}

std::string snapshot_file::path_of(std::uint64_t index) const
{
    return folder_ + "/" + numbered_name(prefix, index);
}

std::optional<std::uint64_t> snapshot_file::index_of(const std::string& file_name)
{
    return parse_number(file_name, prefix);
}

bool snapshot_file::save(const schema::ledger_snapshot& snapshot)
{
    const auto bytes = encode(snapshot);
    if (!bytes)
    {
        last_reason_ = "snapshot is larger than protobuf can serialise (2 GiB)";
        return false;
    }
    const std::string path = path_of(snapshot.last_index());
    const std::string temporary = path + std::string(temporary_suffix);
    {
        const auto file = disk_.create(temporary);
        if (!file)
        {
            last_reason_ = disk_.last_reason();
            return false;
        }
        if (!file->write(*bytes) || !file->sync())
        {
            last_reason_ = file->last_reason();
            return false;
        }
    }
    if (!disk_.rename(temporary, path) || !disk_.sync_folder(folder_))
    {
        last_reason_ = disk_.last_reason();
        return false;
    }
    return true;
}

std::optional<schema::ledger_snapshot> snapshot_file::load(std::uint64_t index)
{
    const std::string path = path_of(index);
    const auto bytes = disk_.read(path);
    if (!bytes)
    {
        last_reason_ = disk_.last_reason();
        return std::nullopt;
    }
    if (const std::string damage = find_damage(*bytes, index); !damage.empty())
    {
        last_reason_ = path + ": " + damage;
        return std::nullopt;
    }
    schema::ledger_snapshot snapshot;
    const std::size_t length = bytes->size() - header_bytes - checksum_bytes;
    if (!snapshot.ParseFromArray(bytes->data() + header_bytes, static_cast<int>(length)) ||
        snapshot.last_index() != index)
    {
        last_reason_ = absl::StrCat(path, ": not a ledger_snapshot at offset ", header_bytes);
        return std::nullopt;
    }
    return snapshot;
}

bool snapshot_file::remove(std::uint64_t index)
{
    if (!disk_.remove(path_of(index)))
    {
        last_reason_ = disk_.last_reason();
        return false;
    }
    return true;
}

} // namespace savoryreach::storage
