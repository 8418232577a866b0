#ifndef SAVORYREACH_STORAGE_FILE_LOG_STORAGE_HPP
#define SAVORYREACH_STORAGE_FILE_LOG_STORAGE_HPP

#include "savoryreach/keeper/log_storage.hpp"
#include "savoryreach/storage/disk.hpp"
#include "savoryreach/storage/log_recovery.hpp"
#include "savoryreach/storage/segment_writer.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <pthread.h>
#include <string>
#include <variant>
#include <vector>

namespace savoryreach::storage
{

/// keeper::log_storage in one data folder. A writer thread dequeues all queued writes at once,
/// writes them with one write call and one fdatasync (group commit), and then reports their
/// tickets.
class file_log_storage final : public keeper::log_storage
{
public:
    /// What opening has read.
    struct recovered_content
    {
        keeper::stored_state state;
        std::vector<std::string> repairs; ///< repairs made while opening, one sentence each
    };

    /// All are called on the writer thread; the owner forwards them to its control thread.
    struct callbacks
    {
        /// The write with this ticket is durable. Called once per ticket, ascending.
        std::function<void(std::uint64_t ticket)> persisted;
        /// A write or sync failed: no later write becomes durable until reopen() succeeds. Called
        /// once per failure, and for each reopen() that fails.
        std::function<void(std::string reason)> failed;
        /// reopen() has succeeded; the folder holds \p content, and writes are accepted again.
        std::function<void(recovered_content content)> reopened = {};
    };

    struct options
    {
        /// Size after which a new segment begins, so that a snapshot can drop the old ones.
        std::uint64_t segment_bytes = 64ULL << 20U;
    };

    /// An open storage with the state read from it.
    struct open_result
    {
        std::unique_ptr<file_log_storage> storage;
        recovered_content content;
    };

    /// Locks and reads \p folder, creating it if needed, and starts the writer thread. Nullopt when
    /// another process has locked the folder, or when it can't be read or is damaged; \p reason
    /// then names the cause, the file and the offset. \p disk outlives the storage.
    [[nodiscard]] static std::optional<open_result> open(disk& disk, const std::string& folder,
                                                         callbacks handlers,
                                                         const options& storage_options,
                                                         std::string& reason);

    /// After a failure: removes what was written and not synced, reads the folder as open() does,
    /// and reports reopened or failed. Writes queued before are dropped. Never blocks.
    void reopen();

    /// Writes the queued writes, then stops the thread and unlocks the folder.
    ~file_log_storage() override;
    file_log_storage(const file_log_storage&) = delete;
    file_log_storage& operator=(const file_log_storage&) = delete;

    std::uint64_t append(std::vector<schema::log_entry> entries) override;
    std::uint64_t truncate_from(std::uint64_t index) override;
    std::uint64_t save_hard_state(const schema::hard_state& state) override;
    std::uint64_t save_snapshot(const schema::ledger_snapshot& snapshot) override;

private:
    struct truncation
    {
        std::uint64_t index = 0;
    };
    struct reopening
    {
    };
    using operation = std::variant<std::vector<schema::log_entry>, truncation, schema::hard_state,
                                   schema::ledger_snapshot, reopening>;
    struct queued_write
    {
        std::uint64_t ticket = 0;
        operation request;
    };

    /// Reads the folder and begins a segment.
    [[nodiscard]] static std::optional<recovered_content>
    load(disk& disk, const std::string& folder, const options& storage_options,
         std::unique_ptr<segment_writer>& writer, std::string& reason);

    file_log_storage(disk& disk, std::string folder, const options& storage_options,
                     std::unique_ptr<disk_file> lock, std::unique_ptr<segment_writer> writer,
                     callbacks handlers);

    static void* thread_entry(void* self);
    void run();
    std::uint64_t enqueue(operation request);
    void write_batch(const std::deque<queued_write>& batch);
    void fail(const std::string& reason);
    void reopen_now();
    [[nodiscard]] bool flush(std::vector<std::uint64_t>& tickets);

    disk& disk_;                             ///< Used by the writer thread only.
    std::string folder_;                     ///< Without a trailing slash.
    options options_;                        ///< As given to open().
    std::unique_ptr<disk_file> lock_;        ///< Held while the storage lives.
    std::unique_ptr<segment_writer> writer_; ///< Used by the writer thread only.
    callbacks callbacks_;                    ///< Called on the writer thread.
    bool failed_ = false;                    ///< Used by the writer thread only.
    std::mutex mutex_;                       ///< Guards the members below.
    std::condition_variable queue_changed_;  ///< Signalled when queue_ or stopping_ changes.
    std::deque<queued_write> queue_;         ///< Writes that the thread has not dequeued yet.
    std::uint64_t last_ticket_ = 0;          ///< Ticket of the latest queued write.
    bool stopping_ = false;                  ///< The thread ends when the queue is empty.
    pthread_t thread_ = {};                  ///< The writer thread.
};

} // namespace savoryreach::storage

#endif
