#ifndef SAVORYREACH_DAEMON_RUN_LOOP_HPP
#define SAVORYREACH_DAEMON_RUN_LOOP_HPP

#include "savoryreach/observe/event_sink.hpp"

#include <boost/asio.hpp>

namespace savoryreach::daemon
{

/// Runs the event loop until it is stopped. An error in one handler, of a connection or a timer, is
/// recorded as `handler_raised`, and the loop goes on. Handlers of the core and ticks are noexcept:
/// an error in them may leave the state half changed, so that the process ends and recovers it from
/// disk.
void run_loop(boost::asio::io_context& io, observe::event_sink& events);

} // namespace savoryreach::daemon

#endif
