#ifndef SAVORYREACH_TESTS_STORAGE_MEMORY_DISK_HPP
#define SAVORYREACH_TESTS_STORAGE_MEMORY_DISK_HPP

#include "savoryreach/storage/disk.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace savoryreach::storage
{

/// An in-memory disk that can fail at a chosen operation and lose all unsynced data.
class memory_disk final : public disk
{
public:
    /// Content of one file, as programs read it and as it is after a loss of power.
    struct inode
    {
        std::string content;
        std::string durable;
    };
    using names = std::map<std::string, std::shared_ptr<inode>>;

    /// All changing operations fail from the \p n-th one on; 0: none.
    void fail_from(std::size_t n) { fail_from_ = n; }
    void fail_syncs(bool fail) { fail_syncs_ = fail; }
    [[nodiscard]] std::size_t changes() const { return changes_; }
    [[nodiscard]] std::size_t syncs() const { return syncs_; }

    /// Discards all unsynced data, as a loss of power does.
    void lose_power()
    {
        current_ = durable_;
        for (auto& [name, node] : current_)
        {
            node->content = node->durable;
        }
        fail_from_ = 0;
        fail_syncs_ = false;
    }

    [[nodiscard]] names& files() { return current_; }

    bool make_folder(const std::string&) override { return true; }

    std::optional<std::vector<std::string>> list(const std::string& folder) override
    {
        std::vector<std::string> found;
        for (const auto& [name, node] : current_)
        {
            found.push_back(name.substr(folder.size() + 1));
        }
        return found;
    }

    std::unique_ptr<disk_file> create(const std::string& path) override
    {
        if (!change())
        {
            return nullptr;
        }
        current_[path] = std::make_shared<inode>();
        return std::make_unique<file>(*this, current_[path]);
    }

    std::unique_ptr<disk_file> lock(const std::string&) override
    {
        return std::make_unique<file>(*this, std::make_shared<inode>());
    }

    std::optional<std::string> read(const std::string& path) override
    {
        return current_.at(path)->content;
    }

    bool truncate(const std::string& path, std::uint64_t size) override
    {
        if (!change())
        {
            return false;
        }
        current_.at(path)->content.resize(size);
        current_.at(path)->durable = current_.at(path)->content;
        return true;
    }

    bool rename(const std::string& from, const std::string& to) override
    {
        if (!change())
        {
            return false;
        }
        current_[to] = current_.at(from);
        current_.erase(from);
        return true;
    }

    bool remove(const std::string& path) override { return change() && current_.erase(path) == 1; }

    bool sync_folder(const std::string&) override
    {
        if (!sync())
        {
            return false;
        }
        durable_ = current_;
        return true;
    }

    [[nodiscard]] const std::string& last_reason() const override { return reason_; }

private:
    class file final : public disk_file
    {
    public:
        file(memory_disk& disk, std::shared_ptr<inode> node) : disk_(disk), node_(std::move(node))
        {
        }

        bool write(std::string_view bytes) override
        {
            if (!disk_.change())
            {
                return false;
            }
            node_->content += bytes;
            return true;
        }

        bool sync() override
        {
            if (!disk_.sync())
            {
                return false;
            }
            node_->durable = node_->content;
            return true;
        }

        [[nodiscard]] const std::string& last_reason() const override { return disk_.reason_; }

    private:
        memory_disk& disk_;           ///< Decides which operations fail.
        std::shared_ptr<inode> node_; ///< Stays valid when the name is replaced.
    };

    bool change() { return ++changes_ < fail_from_ || fail_from_ == 0; }

    bool sync()
    {
        ++syncs_;
        return change() && !fail_syncs_;
    }

    names current_;                           ///< Names visible to programs.
    names durable_;                           ///< Names after a loss of power.
    std::size_t changes_ = 0;                 ///< Changing operations so far.
    std::size_t syncs_ = 0;                   ///< Sync operations so far.
    std::size_t fail_from_ = 0;               ///< First changing operation that fails.
    bool fail_syncs_ = false;                 ///< Every sync fails.
    std::string reason_ = "injected failure"; ///< Text of every failure.
};

} // namespace savoryreach::storage

#endif
