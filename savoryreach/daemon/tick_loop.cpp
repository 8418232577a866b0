#include "savoryreach/daemon/tick_loop.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <utility>

namespace savoryreach::daemon
{

void tick_loop::start(tick_handler on_tick)
{
    on_tick_ = std::move(on_tick);
    running_ = true;
    run();
    set_timer();
}

void tick_loop::schedule()
{
    if (!running_ || scheduled_)
    {
        return;
    }
    scheduled_ = true;
    boost::asio::post(io_,
                      [this]
                      {
                          scheduled_ = false;
                          run();
                          if (running_ && next_tick() < timer_.expiry())
                          {
                              set_timer();
                          }
                      });
}

void tick_loop::stop()
{
    running_ = false;
    timer_.cancel();
    flush_log();
}

void tick_loop::run() noexcept
{
    if (running_)
    {
        pause_ = on_tick_();
        ticked_at_ = std::chrono::steady_clock::now();
        flush_log();
    }
}

void tick_loop::set_timer()
{
    timer_.expires_at(next_tick());
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
