#include "savoryreach/daemon/run_loop.hpp"

#include <exception>

namespace savoryreach::daemon
{

void run_loop(boost::asio::io_context& io, observe::event_sink& events)
{
    while (!io.stopped())
    {
        try
        {
            io.run();
        }
        catch (const std::exception& error)
        {
            events.record("handler_raised", {{"reason", error.what()}});
        }
    }
}

} // namespace savoryreach::daemon
