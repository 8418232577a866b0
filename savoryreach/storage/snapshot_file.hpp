#ifndef SAVORYREACH_STORAGE_SNAPSHOT_FILE_HPP
#define SAVORYREACH_STORAGE_SNAPSHOT_FILE_HPP

#include "savoryreach/storage/disk.hpp"
#include "schema/generated/ledger.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::storage
{

/// Snapshots in one folder, one file each, named by their last index. A file gets its name only
/// when its content is durable: temporary file, sync, rename, sync of the folder.
class snapshot_file
{
public:
    static constexpr std::uint32_t format_version = 1;

    snapshot_file(disk& disk, std::string folder);

    /// Makes \p snapshot durable. False on an error, which leaves earlier snapshots unchanged.
    [[nodiscard]] bool save(const schema::ledger_snapshot& snapshot);

    /// Reads the snapshot with last index \p index. Rejects a damaged file.
    [[nodiscard]] std::optional<schema::ledger_snapshot> load(std::uint64_t index);

    /// Removes the file of the snapshot with last index \p index.
    [[nodiscard]] bool remove(std::uint64_t index);

    /// The last index in a snapshot's file name, or nullopt for other files.
    [[nodiscard]] static std::optional<std::uint64_t> index_of(const std::string& file_name);

    /// Why the last call failed, naming the file and, for damage, the offset.
    [[nodiscard]] const std::string& last_reason() const { return last_reason_; }

private:
    [[nodiscard]] std::string path_of(std::uint64_t index) const;

    disk& disk_;              ///< Outlives this object.
    std::string folder_;      ///< Without a trailing slash.
    std::string last_reason_; ///< Why the last call failed.
};

} // namespace savoryreach::storage

#endif
