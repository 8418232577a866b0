#ifndef SAVORYREACH_TESTS_DAEMON_REFUSING_DISK_HPP
#define SAVORYREACH_TESTS_DAEMON_REFUSING_DISK_HPP

#include "savoryreach/storage/posix_disk.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace savoryreach::daemon
{

/// The disk of the host, which refuses all changes while \p refuses is set, as a full one does.
class refusing_disk final : public storage::disk
{
public:
    explicit refusing_disk(const std::atomic<bool>& refuses) : refuses_(refuses) {}

    /// From now on no file can be read.
    void refuse_reads() { refuses_reads_ = true; }

    bool make_folder(const std::string& path) override { return real_.make_folder(path); }
    std::optional<std::vector<std::string>> list(const std::string& folder) override
    {
        return real_.list(folder);
    }
    std::unique_ptr<storage::disk_file> create(const std::string& path) override
    {
        auto real = refuses_ ? nullptr : real_.create(path);
        return real ? std::make_unique<file>(refuses_, std::move(real)) : nullptr;
    }
    std::unique_ptr<storage::disk_file> lock(const std::string& path) override
    {
        return real_.lock(path);
    }
    std::optional<std::string> read(const std::string& path) override
    {
        return refuses_reads_ ? std::nullopt : real_.read(path);
    }
    bool truncate(const std::string& path, std::uint64_t size) override
    {
        return !refuses_ && real_.truncate(path, size);
    }
    bool sync(const std::string& path) override { return !refuses_ && real_.sync(path); }
    bool rename(const std::string& from, const std::string& to) override
    {
        return !refuses_ && real_.rename(from, to);
    }
    bool remove(const std::string& path) override { return !refuses_ && real_.remove(path); }
    bool sync_folder(const std::string& folder) override
    {
        return !refuses_ && real_.sync_folder(folder);
    }
    [[nodiscard]] const std::string& last_reason() const override { return reason_; }

private:
    class file final : public storage::disk_file
    {
    public:
        file(const std::atomic<bool>& refuses, std::unique_ptr<storage::disk_file> real)
            : refuses_(refuses), real_(std::move(real))
        {
        }

        bool write(std::string_view bytes) override { return !refuses_ && real_->write(bytes); }
        bool sync() override { return !refuses_ && real_->sync(); }
        [[nodiscard]] const std::string& last_reason() const override { return reason_; }

    private:
        const std::atomic<bool>& refuses_;
        std::unique_ptr<storage::disk_file> real_;
        std::string reason_ = "no space left"; ///< Text of every failure.
    };

    const std::atomic<bool>& refuses_; ///< Set by the test, read on the writer thread.
    bool refuses_reads_ = false;
    storage::posix_disk real_;
    std::string reason_ = "no space left"; ///< Text of every failure.
};

} // namespace savoryreach::daemon

#endif
