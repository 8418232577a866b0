#ifndef SAVORYREACH_DAEMON_PROCESS_SETUP_HPP
#define SAVORYREACH_DAEMON_PROCESS_SETUP_HPP

namespace savoryreach::daemon
{

/// Holds back SIGHUP, SIGTERM and SIGINT until deliver_signals(). Called before a thread is started
/// or a file is opened.
void prepare_process();

/// Delivers the signals that were held back, and later ones at once. Called when their handlers are
/// installed.
void deliver_signals();

} // namespace savoryreach::daemon

#endif
