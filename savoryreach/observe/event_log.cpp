#include "savoryreach/observe/event_log.hpp"

#include <cassert>
#include <fstream>
#include <utility>

namespace savoryreach::observe
{

std::unique_ptr<event_log> event_log::open(const std::string& path, origin from,
                                           std::size_t capacity)
{
    auto out = std::make_unique<std::ofstream>(path, std::ios::app | std::ios::binary);
    if (!*out)
    {
        return nullptr;
    }
    return std::make_unique<event_log>(std::move(out), std::move(from), capacity);
}

event_log::event_log(std::unique_ptr<std::ostream> out, origin from, std::size_t capacity)
    : out_(std::move(out)), from_(std::move(from)), capacity_(capacity)
{
    [[maybe_unused]] const int ec = ::pthread_create(&thread_, nullptr, thread_entry, this);
    assert(ec == 0);
}

event_log::~event_log()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    ::pthread_join(thread_, nullptr);
}

event_line event_log::make_line(std::string_view kind) const
{
    event_line line;
    line.hlc = from_.hybrid.now();
    line.wall = from_.clock.wall_now();
    line.process = from_.process;
    line.incarnation = incarnation_;
    line.kind = kind;
    return line;
}

void event_log::record(std::string_view kind, std::initializer_list<event_field> fields)
{
    event_line line = make_line(kind);
    for (const event_field& it : fields)
    {
        line.fields.emplace_back(it.key, it.value);
    }
    {
        const std::lock_guard guard(mutex_);
        if (queue_.size() >= capacity_)
        {
            ++dropped_;
            return;
        }
        queue_.push_back(std::move(line));
    }
    changed_.notify_one();
}

void* event_log::thread_entry(void* self)
{
    static_cast<event_log*>(self)->run();
    return nullptr;
}

void event_log::run()
{
    for (;;)
    {
        std::deque<event_line> batch;
        bool stopping = false;
        {
            std::unique_lock guard(mutex_);
            changed_.wait(guard, [this] { return stopping_ || !queue_.empty(); });
            batch.swap(queue_);
            stopping = stopping_;
        }
        write(batch);
        if (stopping)
        {
            return;
        }
    }
}

void event_log::write(const std::deque<event_line>& batch)
{
    std::string text;
    for (const event_line& it : batch)
    {
        text += it.to_text();
        text += '\n';
    }
    const std::uint64_t drops = dropped_;
    if (drops > reported_drops_)
    {
        event_line line = make_line("events_dropped");
        line.fields.emplace_back("count", std::to_string(drops - reported_drops_));
        text += line.to_text();
        text += '\n';
    }
    out_->write(text.data(), static_cast<std::streamsize>(text.size()));
    out_->flush();
    if (out_->good())
    {
        reported_drops_ = drops;
        return;
    }
    // A full disk must not stop the process; the loss is reported when writing works again.
    out_->clear();
    dropped_ += batch.size();
}

} // namespace savoryreach::observe
