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

/// The control thread of a process, which alone uses the process's core. Other threads post events
/// to it. It calls the tick handler after each batch of events and at least once per tick interval.
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
    bool try_post(event work);
    /// Queues an event that must not be lost, such as the end of a run. The caller must bound the
    /// number of such events.
    void post(event work);
    /// Runs \p work on the control thread and waits until it returns.
    void run_and_wait(const event& work);

    /// Number of events that try_post() refused.
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
