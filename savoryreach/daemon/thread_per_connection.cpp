#include "savoryreach/daemon/thread_per_connection.hpp"

namespace savoryreach::daemon
{

void thread_per_connection::enqueue(std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(work));
        if (queue_.size() > idle_ && threads_.size() < max_threads_)
        {
            threads_.emplace_back([this] { run_worker(); });
        }
    }
    wake_.notify_one();
}

void thread_per_connection::shutdown()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (auto& it : threads_)
    {
        it.join();
    }
}

void thread_per_connection::run_worker()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        ++idle_;
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        --idle_;
        if (queue_.empty())
        {
            return;
        }
        const auto work = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace savoryreach::daemon
