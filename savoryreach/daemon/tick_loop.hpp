#ifndef SAVORYREACH_DAEMON_TICK_LOOP_HPP
#define SAVORYREACH_DAEMON_TICK_LOOP_HPP

#include <utility>

#include <boost/asio.hpp>

#include <chrono>
#include <functional>

namespace savoryreach::daemon
{

/// Calls a process's tick handler on its event loop: after the events that are ready, when
/// scheduled, and otherwise after the pause that the handler returned. Flushes the log after each
/// tick.
class tick_loop
{
public:
    /// Performs due work and returns the longest pause until the next tick.
    using tick_handler = std::function<std::chrono::milliseconds()>;

    explicit tick_loop(boost::asio::io_context& io) : io_(io), timer_(io) {}

    void start(tick_handler on_tick);
    /// Runs a tick after the handlers that are ready to run. No effect before start().
    void schedule();
    void stop();

private:
    /// An error in a tick ends the process: without ticks it would only seem to run.
    void run() noexcept;
    /// Replaces the pending timer.
    void set_timer();
    [[nodiscard]] std::chrono::steady_clock::time_point next_tick() const
    {
        return ticked_at_ + pause_;
    }

    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    tick_handler on_tick_;
    std::chrono::milliseconds pause_{0}; ///< returned by the last tick
    std::chrono::steady_clock::time_point ticked_at_;
    bool scheduled_ = false;
    bool running_ = false;
};

} // namespace savoryreach::daemon

#endif
