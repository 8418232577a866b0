#ifndef SAVORYREACH_STORAGE_DISK_FILE_HPP
#define SAVORYREACH_STORAGE_DISK_FILE_HPP

#include <string>
#include <string_view>

namespace savoryreach::storage
{

/// One file that is open for appending. Closed when destroyed, which releases a lock held by it.
class disk_file
{
public:
    virtual ~disk_file() = default;

    /// Appends all of \p bytes. False on an error; a part of the bytes may then be in the file.
    [[nodiscard]] virtual bool write(std::string_view bytes) = 0;

    /// Makes the content durable. False on an error; the content on disk is then unknown.
    [[nodiscard]] virtual bool sync() = 0;

    /// Why the last call failed, with the path.
    [[nodiscard]] virtual const std::string& last_reason() const = 0;
};

} // namespace savoryreach::storage

#endif
