#ifndef SAVORYREACH_DAEMON_SHUTDOWN_SIGNAL_HPP
#define SAVORYREACH_DAEMON_SHUTDOWN_SIGNAL_HPP

#include <absl/time/time.h>

#include <functional>

namespace savoryreach::daemon
{

/// Waits for SIGTERM or SIGINT on the main thread. Construct it before any thread is started, so
/// that all threads inherit the blocked signals.
class shutdown_signal
{
public:
    shutdown_signal();

    /// Blocks until the first signal.
    static void wait();

    /// Waits until \p is_drained returns true, a second signal arrives or \p deadline (monotonic
    /// clock) passes. Returns true when the process has drained.
    static bool wait_for_drain(const std::function<bool()>& is_drained, absl::Time deadline);
};

} // namespace savoryreach::daemon

#endif
