#ifndef SAVORYREACH_TESTS_STORAGE_MEMORY_DISK_HPP
#define SAVORYREACH_TESTS_STORAGE_MEMORY_DISK_HPP

#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/storage/disk.hpp"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::storage
{

/// An in-memory disk that can refuse operations and lose unsynced data. What a loss of power
/// leaves:
/// - the content of a file as of its last sync, and of each later write all, a part or nothing;
/// - each name that was created, renamed or removed since the last sync of the folder as it was
///   before or after, independently of the others.
/// The end of a process loses nothing.
class memory_disk final : public disk
{
public:
    /// Content of one file, as programs read it and as it is after a loss of power.
    struct inode
    {
        std::string content;
        std::string durable;
        std::vector<std::string> unsynced; ///< Writes since the last sync.
    };
    using names = std::map<std::string, std::shared_ptr<inode>>;

    /// All changing operations fail from the \p n-th one on; 0: none.
    void fail_from(std::size_t n) { fail_from_ = n; }
    void fail_syncs(bool fail) { fail_syncs_ = fail; }
    [[nodiscard]] std::size_t changes() const { return changes_; }
    [[nodiscard]] std::size_t syncs() const { return syncs_; }

    /// Discards all unsynced data, as a loss of power may do.
    void lose_power()
    {
        current_ = durable_;
        for (auto& [name, node] : current_)
        {
            node->content = node->durable;
            node->unsynced.clear();
        }
        recover();
    }

    /// A loss of power that keeps a random part of the unsynced data.
    void lose_power(base::seeded_random& random)
    {
        names all = current_;
        all.insert(durable_.begin(), durable_.end());
        names left;
        for (const auto& [name, node] : all)
        {
            const names& state = random.below(2) == 0 ? durable_ : current_;
            if (const auto it = state.find(name); it != state.end())
            {
                left.insert(*it);
            }
        }
        current_ = left;
        for (auto& [name, node] : current_)
        {
            settle_content(*node, random);
        }
        durable_ = current_;
        recover();
    }

    /// Ends the process that used the disk; a full disk takes writes again.
    void recover()
    {
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
        auto& node = *current_.at(path);
        node.content.resize(size);
        node.durable = node.content;
        node.unsynced.clear();
        return true;
    }

    bool sync(const std::string& path) override { return sync_content(*current_.at(path)); }

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
        if (!count_sync())
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
            node_->unsynced.emplace_back(bytes);
            return true;
        }

        bool sync() override { return disk_.sync_content(*node_); }

        [[nodiscard]] const std::string& last_reason() const override { return disk_.reason_; }

    private:
        memory_disk& disk_;           ///< Decides which operations fail.
        std::shared_ptr<inode> node_; ///< Stays valid when the name is replaced.
    };

    /// Keeps each unsynced write, the beginning of it, or none of it. A write that is missing
    /// before one that is present leaves zeros.
    static void settle_content(inode& node, base::seeded_random& random)
    {
        std::string content = node.durable;
        std::size_t at = content.size();
        for (const std::string& it : node.unsynced)
        {
            const std::size_t kept =
                std::array{std::size_t{0}, it.size(), random.below(it.size() + 1)}.at(
                    random.below(3));
            if (kept > 0)
            {
                content.resize(at, '\0');
                content += it.substr(0, kept);
            }
            at += it.size();
        }
        node = {content, content, {}};
    }

    bool change() { return ++changes_ < fail_from_ || fail_from_ == 0; }

    bool count_sync()
    {
        ++syncs_;
        return change() && !fail_syncs_;
    }

    bool sync_content(inode& node)
    {
        if (!count_sync())
        {
            return false;
        }
        node.durable = node.content;
        node.unsynced.clear();
        return true;
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
