#include "savoryreach/storage/file_log_storage.hpp"

#include <cassert>
#include <utility>

namespace savoryreach::storage
{

std::optional<file_log_storage::open_result>
file_log_storage::open(disk& disk, const std::string& folder, callbacks calls,
                       const options& chosen, std::string& last_reason)
{
    std::unique_ptr<disk_file> lock;
    if (disk.make_folder(folder))
    {
        lock = disk.lock(folder + "/lock");
    }
    if (!lock)
    {
        last_reason = "data folder " + folder +
                      " can't be used (another process may hold it): " + disk.last_reason();
        return std::nullopt;
    }
    log_recovery recovery(disk, folder);
    auto content = recovery.run();
    if (!content)
    {
        last_reason = recovery.last_reason();
        return std::nullopt;
    }
    auto writer = std::make_unique<segment_writer>(disk, folder, chosen.segment_bytes, *content);
    if (!writer->start())
    {
        last_reason = writer->last_reason();
        return std::nullopt;
    }
    open_result result;
    result.state = std::move(content->state);
    result.repairs = std::move(content->repairs);
    result.storage.reset(
        new file_log_storage(std::move(lock), std::move(writer), std::move(calls)));
    return result;
}

file_log_storage::file_log_storage(std::unique_ptr<disk_file> lock,
                                   std::unique_ptr<segment_writer> writer, callbacks calls)
    : lock_(std::move(lock)), writer_(std::move(writer)), calls_(std::move(calls))
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
    changed_.notify_one();
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

std::uint64_t file_log_storage::enqueue(operation what)
{
    std::uint64_t ticket = 0;
    {
        const std::lock_guard guard(mutex_);
        ticket = ++last_ticket_;
        queue_.push_back({ticket, std::move(what)});
    }
    changed_.notify_one();
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
        std::deque<queued> batch;
        {
            std::unique_lock guard(mutex_);
            changed_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
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

void file_log_storage::write_batch(const std::deque<queued>& batch)
{
    std::vector<std::uint64_t> tickets;
    bool ok = true;
    for (const queued& it : batch)
    {
        if (const auto* entries = std::get_if<std::vector<schema::log_entry>>(&it.what))
        {
            writer_->add_entries(*entries);
        }
        else if (const auto* cut = std::get_if<truncation>(&it.what))
        {
            writer_->add_truncation(cut->index);
        }
        else if (const auto* state = std::get_if<schema::hard_state>(&it.what))
        {
            writer_->add_hard_state(*state);
        }
        else
        {
            // Earlier writes become durable first, so that the order of the queue is kept.
            ok = flush(tickets) &&
                 writer_->save_snapshot(std::get<schema::ledger_snapshot>(it.what));
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
        calls_.failed(writer_->last_reason());
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
        calls_.persisted(ticket);
    }
    tickets.clear();
    return true;
}

} // namespace savoryreach::storage
