#include "savoryreach/daemon/turn_loop.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <utility>

namespace savoryreach::daemon
{

void turn_loop::start(turn_handler turn)
{
    turn_ = std::move(turn);
    running_ = true;
    run();
    set_timer();
}

void turn_loop::schedule()
{
    if (!running_ || posted_)
    {
        return;
    }
    posted_ = true;
    boost::asio::post(io_,
                      [this]
                      {
                          posted_ = false;
                          run();
                      });
}

void turn_loop::stop()
{
    running_ = false;
    timer_.cancel();
    flush_log();
}

void turn_loop::run()
{
    if (running_)
    {
        pause_ = turn_();
        flush_log();
    }
}

void turn_loop::set_timer()
{
    timer_.expires_after(pause_);
    timer_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (!ec && running_)
            {
                run();
                set_timer();
            }
        });
}

} // namespace savoryreach::daemon
