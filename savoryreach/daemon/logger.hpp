#ifndef SAVORYREACH_DAEMON_LOGGER_HPP
#define SAVORYREACH_DAEMON_LOGGER_HPP

#include "savoryreach/observe/event_sink.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace savoryreach::daemon
{

enum class log_level
{
    info,
    warning,
    error,
};

/// Opens the log of this process: \p file, or standard error when \p file is empty.
void open_log(const std::string& file, const std::string& process);

/// Opens the log of a process with an event loop. flush_log() writes the lines to standard output
/// without blocking; lines that exceed the buffer are dropped and counted. Each line carries a
/// value of \p hybrid, which orders the lines of several processes; it outlives the log.
void open_buffered_log(const std::string& process, observe::hybrid_clock& hybrid);
/// Writes the buffered lines without blocking.
void flush_log();

/// Writes one line of key=value pairs; thread-safe.
void log(log_level level, std::string_view event,
         std::initializer_list<observe::event_field> fields);

} // namespace savoryreach::daemon

#endif
