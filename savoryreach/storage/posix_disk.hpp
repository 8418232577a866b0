#ifndef SAVORYREACH_STORAGE_POSIX_DISK_HPP
#define SAVORYREACH_STORAGE_POSIX_DISK_HPP

#include "savoryreach/storage/disk.hpp"

namespace savoryreach::storage
{

/// Implementation of disk on the file system of the host.
class posix_disk final : public disk
{
public:
    bool make_folder(const std::string& path) override;
    std::optional<std::vector<std::string>> list(const std::string& folder) override;
    std::unique_ptr<disk_file> create(const std::string& path) override;
    std::unique_ptr<disk_file> lock(const std::string& path) override;
    std::optional<std::string> read(const std::string& path) override;
    bool truncate(const std::string& path, std::uint64_t size) override;
    bool sync(const std::string& path) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool remove(const std::string& path) override;
    bool sync_folder(const std::string& folder) override;
    [[nodiscard]] const std::string& last_reason() const override { return last_reason_; }

private:
    bool fail(const char* operation, const std::string& path);

    std::string last_reason_; ///< Why the last call failed.
};

} // namespace savoryreach::storage

#endif
