#include "savoryreach/daemon/process_setup.hpp"

#include <csignal>
#include <initializer_list>

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

} // namespace

void prepare_process()
{
    mask_handled_signals(SIG_BLOCK);
}

void deliver_signals()
{
    mask_handled_signals(SIG_UNBLOCK);
}

} // namespace savoryreach::daemon
