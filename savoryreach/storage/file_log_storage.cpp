#include "savoryreach/storage/file_log_storage.hpp"

#include <cassert>
#include <utility>

namespace savoryreach::storage
{

std::optional<file_log_storage::open_result>
file_log_storage::open(disk& disk, const std::string& folder, callbacks handlers,
                       const options& storage_options, std::string& reason)
{
    std::unique_ptr<disk_file> lock;
    if (disk.make_folder(folder))
    {
        lock = disk.lock(folder + "/lock");
    }
    if (!lock)
    {
        reason = "data folder " + folder +
                 " can't be used (another process may hold it): " + disk.last_reason();
        return std::nullopt;
    }
    std::unique_ptr<segment_writer> writer;
    auto content = load(disk, folder, storage_options, writer, reason);
    if (!content)
    {
        return std::nullopt;
    }
    open_result result;
    result.content = std::move(*content);
    result.storage.reset(new file_log_storage(disk, folder, storage_options, std::move(lock),
                                              std::move(writer), std::move(handlers)));
    return result;
}

std::optional<file_log_storage::recovered_content>
file_log_storage::load(disk& disk, const std::string& folder, const options& storage_options,
                       std::unique_ptr<segment_writer>& writer, std::string& reason)
{
    log_recovery recovery(disk, folder);
    auto recovered = recovery.run();
    if (!recovered)
    {
        reason = recovery.last_reason();
        return std::nullopt;
    }
    auto started =
        std::make_unique<segment_writer>(disk, folder, storage_options.segment_bytes, *recovered);
    if (!started->start())
    {
        reason = started->last_reason();
        return std::nullopt;
    }
    writer = std::move(started);
    return recovered_content{std::move(recovered->state), std::move(recovered->repairs)};
}

file_log_storage::file_log_storage(disk& disk, std::string folder, const options& storage_options,
                                   std::unique_ptr<disk_file> lock,
                                   std::unique_ptr<segment_writer> writer, callbacks handlers)
    : disk_(disk), folder_(std::move(folder)), options_(storage_options), lock_(std::move(lock)),
      writer_(std::move(writer)), callbacks_(std::move(handlers))
{
    [[maybe_unused]] const int ec = ::pthread_create(&thread_, nullptr, thread_entry, this);
    assert(ec == 0);
}

file_log_storage::~file_log_storage()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    queue_changed_.notify_one();
    ::pthread_join(thread_, nullptr);
}

std::uint64_t file_log_storage::append(std::vector<schema::log_entry> entries)
{
    return enqueue(std::move(entries));
}

std::uint64_t file_log_storage::truncate_from(std::uint64_t index)
{
    return enqueue(truncation{index});
}

std::uint64_t file_log_storage::save_hard_state(const schema::hard_state& state)
{
    return enqueue(state);
}

std::uint64_t file_log_storage::save_snapshot(const schema::ledger_snapshot& snapshot)
{
    return enqueue(snapshot);
}

void file_log_storage::reopen()
{
    enqueue(reopening{});
}

std::uint64_t file_log_storage::enqueue(operation request)
{
    std::uint64_t ticket = 0;
    {
        const std::lock_guard guard(mutex_);
        ticket = ++last_ticket_;
        queue_.push_back({ticket, std::move(request)});
    }
    queue_changed_.notify_one();
    return ticket;
}

void* file_log_storage::thread_entry(void* self)
{
    static_cast<file_log_storage*>(self)->run();
    return nullptr;
}

void file_log_storage::run()
{
    for (;;)
    {
        std::deque<queued_write> batch;
        {
            std::unique_lock guard(mutex_);
            queue_changed_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
            if (queue_.empty())
            {
                return;
            }
            batch.swap(queue_);
        }
        write_batch(batch);
    }
}

void file_log_storage::write_batch(const std::deque<queued_write>& batch)
{
    std::vector<std::uint64_t> tickets;
    for (const queued_write& it : batch)
    {
        if (std::holds_alternative<reopening>(it.request))
        {
            reopen_now();
            continue;
        }
        if (failed_)
        {
            continue;
        }
        bool ok = true;
        if (const auto* entries = std::get_if<std::vector<schema::log_entry>>(&it.request))
        {
            writer_->add_entries(*entries);
        }
        else if (const auto* removal = std::get_if<truncation>(&it.request))
        {
            writer_->add_truncation(removal->index);
        }
        else if (const auto* state = std::get_if<schema::hard_state>(&it.request))
        {
            writer_->add_hard_state(*state);
        }
        else
        {
            // Flushes earlier writes first, so that writes become durable in queue order.
            ok = flush(tickets) &&
                 writer_->save_snapshot(std::get<schema::ledger_snapshot>(it.request));
        }
        if (!ok)
        {
            fail(writer_->last_reason());
            continue;
        }
        tickets.push_back(it.ticket);
    }
    if (!failed_ && !flush(tickets))
    {
        fail(writer_->last_reason());
    }
}

void file_log_storage::fail(const std::string& reason)
{
    failed_ = true;
    callbacks_.failed(reason);
}

void file_log_storage::reopen_now()
{
    if (!failed_)
    {
        return;
    }
    if (!writer_->discard_unsynced())
    {
        fail(writer_->last_reason());
        return;
    }
    std::string reason;
    auto content = load(disk_, folder_, options_, writer_, reason);
    if (!content)
    {
        fail(reason);
        return;
    }
    failed_ = false;
    callbacks_.reopened(std::move(*content));
}

bool file_log_storage::flush(std::vector<std::uint64_t>& tickets)
{
    if (!writer_->flush())
    {
        return false;
    }
    for (const std::uint64_t ticket : tickets)
    {
        callbacks_.persisted(ticket);
    }
    tickets.clear();
    return true;
}

} // namespace savoryreach::storage
