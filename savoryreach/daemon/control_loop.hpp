#ifndef SAVORYREACH_DAEMON_CONTROL_LOOP_HPP
#define SAVORYREACH_DAEMON_CONTROL_LOOP_HPP

#include <absl/time/time.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace savoryreach::daemon
{

/// The thread that owns a core. Other threads post events to it; after each batch of events, and at
/// least every tick interval, it calls the tick function.
class control_loop
{
public:
    using event = std::function<void()>;

    control_loop(std::size_t max_events, absl::Duration tick_interval);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start(event on_tick);
    /// Runs the events posted so far, then joins the thread.
    void stop();

    /// Queues an event that may be lost, such as a message; false when the queue is full.
    bool try_post(event what);
    /// Queues an event that must not be lost, such as the end of a run; the caller bounds them.
    void post(event what);
    /// Runs \p what on the control thread and waits until it has run.
    void run_and_wait(const event& what);

    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    void run(const event& on_tick);

    std::size_t max_events_;       ///< bound for try_post
    absl::Duration tick_interval_; ///< longest time between two ticks
    std::mutex mutex_;             ///< guards events_ and stopping_
    std::condition_variable wake_;
    std::vector<event> events_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> dropped_{0};
    std::thread thread_;
};

} // namespace savoryreach::daemon

#endif
