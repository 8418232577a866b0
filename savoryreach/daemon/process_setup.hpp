#ifndef SAVORYREACH_DAEMON_PROCESS_SETUP_HPP
#define SAVORYREACH_DAEMON_PROCESS_SETUP_HPP

namespace savoryreach::daemon
{

/// Keeps events from outside from ending the process: holds back SIGHUP, SIGTERM and SIGINT until
/// deliver_signals(), lets writes to a closed pipe or beyond the limit of a file's size fail with
/// an error instead of a signal, and opens the standard descriptors that are closed. Called before
/// a thread is started or a file is opened.
void prepare_process();

/// Delivers the signals that were held back, and later ones at once. Called when their handlers are
/// installed.
void deliver_signals();

} // namespace savoryreach::daemon

#endif
