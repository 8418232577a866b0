#ifndef SAVORYREACH_DAEMON_TURN_LOOP_HPP
#define SAVORYREACH_DAEMON_TURN_LOOP_HPP

#include <utility>

#include <boost/asio.hpp>

#include <chrono>
#include <functional>

namespace savoryreach::daemon
{

/// Runs the work of a process in turns on its event loop: once after the messages that are at hand,
/// and again after a pause at the latest. The log is written out at the end of each turn.
class turn_loop
{
public:
    /// Does what is due and returns the longest pause until the next turn.
    using turn_handler = std::function<std::chrono::milliseconds()>;

    explicit turn_loop(boost::asio::io_context& io) : io_(io), timer_(io) {}

    void start(turn_handler turn);
    /// A turn follows the handlers that are ready to run. No effect before the start.
    void schedule();
    void stop();

private:
    void run();
    void set_timer();

    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    turn_handler turn_;
    std::chrono::milliseconds pause_{0}; ///< as the last turn has said
    bool posted_ = false;
    bool running_ = false;
};

} // namespace savoryreach::daemon

#endif
