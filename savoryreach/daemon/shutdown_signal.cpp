#include "savoryreach/daemon/shutdown_signal.hpp"

#include "savoryreach/base/system_clock.hpp"

#include <csignal>
#include <ctime>

namespace savoryreach::daemon
{
namespace
{

constexpr long poll_interval_ns = 10'000'000;

sigset_t shutdown_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

shutdown_signal::shutdown_signal()
{
    const auto set = shutdown_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    // A peer or caller that closes its socket must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void shutdown_signal::wait()
{
    const auto set = shutdown_signals();
    int number = 0;
    while (sigwait(&set, &number) != 0)
    {
    }
}

bool shutdown_signal::wait_for_drain(const std::function<bool()>& is_drained, absl::Time deadline)
{
    const auto set = shutdown_signals();
    while (base::steady_now() < deadline)
    {
        if (is_drained())
        {
            return true;
        }
        const timespec interval{0, poll_interval_ns};
        if (sigtimedwait(&set, nullptr, &interval) > 0)
        {
            return false;
        }
    }
    return is_drained();
}

} // namespace savoryreach::daemon
