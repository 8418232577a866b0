#ifndef SAVORYREACH_STORAGE_DISK_HPP
#define SAVORYREACH_STORAGE_DISK_HPP

#include "savoryreach/storage/disk_file.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::storage
{

/// The file operations used for durable state; an interface, so that tests can inject failures and
/// crashes. An object is used by one thread at a time.
class disk
{
public:
    virtual ~disk() = default;

    /// Creates the folder if it is missing.
    [[nodiscard]] virtual bool make_folder(const std::string& path) = 0;

    /// Names of the regular files in \p folder, ascending.
    [[nodiscard]] virtual std::optional<std::vector<std::string>>
    list(const std::string& folder) = 0;

    /// Creates an empty file, replacing the content of an existing one.
    [[nodiscard]] virtual std::unique_ptr<disk_file> create(const std::string& path) = 0;

    /// Opens or creates a file and holds an exclusive lock on it until the result is destroyed.
    /// Null when the file is locked already.
    [[nodiscard]] virtual std::unique_ptr<disk_file> lock(const std::string& path) = 0;

    /// Reads the whole content of a file.
    [[nodiscard]] virtual std::optional<std::string> read(const std::string& path) = 0;

    /// Truncates a file to \p size bytes and makes the change durable.
    [[nodiscard]] virtual bool truncate(const std::string& path, std::uint64_t size) = 0;

    /// Makes the content of a file durable, whichever process wrote it.
    [[nodiscard]] virtual bool sync(const std::string& path) = 0;

    /// Renames a file, replacing an existing file with the new name.
    [[nodiscard]] virtual bool rename(const std::string& from, const std::string& to) = 0;

    [[nodiscard]] virtual bool remove(const std::string& path) = 0;

    /// Makes creations, renames and removals in \p folder durable.
    [[nodiscard]] virtual bool sync_folder(const std::string& folder) = 0;

    /// Why the last call failed, with the path.
    [[nodiscard]] virtual const std::string& last_reason() const = 0;
};

} // namespace savoryreach::storage

#endif
