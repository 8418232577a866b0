#include "savoryreach/daemon/control_loop.hpp"

#include <cassert>
#include <future>

namespace savoryreach::daemon
{

control_loop::control_loop(std::size_t max_events, absl::Duration tick_interval)
    : max_events_(max_events), tick_interval_(tick_interval)
{
}

control_loop::~control_loop()
{
    stop();
}

void control_loop::start(event on_tick)
{
    assert(!thread_.joinable());
    thread_ = std::thread([this, on_tick = std::move(on_tick)] { run(on_tick); });
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

bool control_loop::try_post(event work)
{
    {
        const std::lock_guard lock(mutex_);
        if (events_.size() >= max_events_)
        {
            ++dropped_;
            return false;
        }
        events_.push_back(std::move(work));
    }
    wake_.notify_one();
    return true;
}

void control_loop::post(event work)
{
    {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(work));
    }
    wake_.notify_one();
}

void control_loop::run_and_wait(const event& work)
{
    std::promise<void> done;
    post(
        [&]
        {
            work();
            done.set_value();
        });
    done.get_future().wait();
}

void control_loop::run(const event& on_tick)
{
    std::vector<event> batch;
    bool stopping = false;
    while (!stopping)
    {
        {
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, absl::ToChronoNanoseconds(tick_interval_),
                           [this] { return stopping_ || !events_.empty(); });
            batch.swap(events_);
            stopping = stopping_;
        }
        for (const auto& it : batch)
        {
            it();
        }
        batch.clear();
        on_tick();
    }
}

} // namespace savoryreach::daemon
