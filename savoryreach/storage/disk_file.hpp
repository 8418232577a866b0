#ifndef SAVORYREACH_STORAGE_DISK_FILE_HPP
#define SAVORYREACH_STORAGE_DISK_FILE_HPP

#include <string>
#include <string_view>

namespace savoryreach::storage
{

/// A file that is open for appending. Its destruction closes the file and releases its lock.
class disk_file
{
public:
    virtual ~disk_file() = default;

    /// Appends all of \p bytes. False on an error; some of the bytes may have been written.
    [[nodiscard]] virtual bool write(std::string_view bytes) = 0;

    /// Makes the content durable. False on an error, after which the content on disk is unknown.
    [[nodiscard]] virtual bool sync() = 0;

    /// Why the last call failed, with the path.
    [[nodiscard]] virtual const std::string& last_reason() const = 0;
};

} // namespace savoryreach::storage

#endif
