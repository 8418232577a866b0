#ifndef SAVORYREACH_STORAGE_POSIX_FILE_HPP
#define SAVORYREACH_STORAGE_POSIX_FILE_HPP

#include "savoryreach/storage/disk_file.hpp"

namespace savoryreach::storage
{

/// A file descriptor that is closed on destruction.
class posix_file final : public disk_file
{
public:
    posix_file(int descriptor, std::string path);
    ~posix_file() override;
    posix_file(const posix_file&) = delete;
    posix_file& operator=(const posix_file&) = delete;

    bool write(std::string_view bytes) override;
    bool sync() override;
    [[nodiscard]] const std::string& last_reason() const override { return last_reason_; }

    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    int descriptor_;          ///< Owned.
    std::string path_;        ///< For error texts.
    std::string last_reason_; ///< Why the last call failed.
};

/// "<operation> <path>: <text of the error number>".
[[nodiscard]] std::string posix_error_text(std::string_view operation, std::string_view path,
                                           int error_number);

} // namespace savoryreach::storage

#endif
