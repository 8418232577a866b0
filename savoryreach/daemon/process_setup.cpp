#include "savoryreach/daemon/process_setup.hpp"

#include <csignal>
#include <fcntl.h>
#include <initializer_list>
#include <unistd.h>

namespace savoryreach::daemon
{
namespace
{

/// No other signals: the platform may use them to run the process.
void mask_handled_signals(int how)
{
    sigset_t set;
    sigemptyset(&set);
    for (const int it : {SIGHUP, SIGTERM, SIGINT})
    {
        sigaddset(&set, it);
    }
    pthread_sigmask(how, &set, nullptr);
}

/// A descriptor that is closed would become that of a socket or of the log on disk, into which the
/// lines of the process's log would then be written.
void open_standard_descriptors()
{
    for (const int it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        if (::fcntl(it, F_GETFD) < 0)
        {
            // Takes the lowest free number, which is this one.
            (void)::open("/dev/null", O_RDWR);
        }
    }
}

} // namespace

void prepare_process()
{
    mask_handled_signals(SIG_BLOCK);
    for (const int it : {SIGPIPE, SIGXFSZ})
    {
        std::signal(it, SIG_IGN);
    }
    open_standard_descriptors();
}

void deliver_signals()
{
    mask_handled_signals(SIG_UNBLOCK);
}

} // namespace savoryreach::daemon
