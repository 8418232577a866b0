#ifndef SAVORYREACH_DAEMON_THREAD_PER_CONNECTION_HPP
#define SAVORYREACH_DAEMON_THREAD_PER_CONNECTION_HPP

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace savoryreach::daemon
{

/// A thread pool for cpp-httplib's server, which occupies a thread while a connection is open. It
/// starts threads on demand, up to a bound; further connections wait.
class thread_per_connection final : public httplib::TaskQueue
{
public:
    explicit thread_per_connection(std::size_t max_threads) : max_threads_(max_threads) {}

    void enqueue(std::function<void()> work) override;
    void shutdown() override;

private:
    void run_worker();

    std::size_t max_threads_; ///< bound on connections served at the same time
    std::mutex mutex_;        ///< guards all below
    std::condition_variable wake_;
    std::deque<std::function<void()>> queue_; ///< connections that wait for a thread
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace savoryreach::daemon

#endif
