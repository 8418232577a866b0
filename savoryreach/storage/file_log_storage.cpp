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
    log_recovery recovery(disk, folder);
    auto recovered = recovery.run();
    if (!recovered)
    {
        reason = recovery.last_reason();
        return std::nullopt;
    }
    auto writer =
        std::make_unique<segment_writer>(disk, folder, storage_options.segment_bytes, *recovered);
    if (!writer->start())
    {
        reason = writer->last_reason();
        return std::nullopt;
    }
    open_result result;
    result.state = std::move(recovered->state);
    result.repairs = std::move(recovered->repairs);
    result.storage.reset(
        new file_log_storage(std::move(lock), std::move(writer), std::move(handlers)));
    return result;
}

file_log_storage::file_log_storage(std::unique_ptr<disk_file> lock,
                                   std::unique_ptr<segment_writer> writer, callbacks handlers)
    : lock_(std::move(lock)), writer_(std::move(writer)), callbacks_(std::move(handlers))
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
        if (!failed_)
        {
            write_batch(batch);
        }
    }
}

void file_log_storage::write_batch(const std::deque<queued_write>& batch)
{
    std::vector<std::uint64_t> tickets;
    bool ok = true;
    for (const queued_write& it : batch)
    {
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
            break;
        }
        tickets.push_back(it.ticket);
    }
    if (!ok || !flush(tickets))
    {
        failed_ = true;
        callbacks_.failed(writer_->last_reason());
    }
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
