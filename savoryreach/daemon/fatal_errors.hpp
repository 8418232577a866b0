#ifndef SAVORYREACH_DAEMON_FATAL_ERRORS_HPP
#define SAVORYREACH_DAEMON_FATAL_ERRORS_HPP

#include <string>

namespace savoryreach::daemon
{

/// From now on a fatal error of this process writes a line `process_ends` with its reason directly
/// before the end: an exception that nothing catches, a failed assertion or another fatal signal.
/// Called after open_buffered_log().
void log_fatal_errors(const std::string& process);

} // namespace savoryreach::daemon

#endif
