#include "savoryreach/daemon/run_loop.hpp"

#include "tests/simulation/counting_sink.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace savoryreach::daemon
{
namespace
{

TEST(run_loop_test, error_in_one_handler_is_recorded_and_the_loop_goes_on)
{
    boost::asio::io_context io;
    simulation::counting_sink events;
    int handled = 0;
    boost::asio::post(io, [] { throw std::runtime_error("no descriptors"); });
    boost::asio::post(io, [&] { ++handled; });
    run_loop(io, events);
    EXPECT_EQ(handled, 1);
    EXPECT_EQ(events.count("handler_raised"), 1U);
}

TEST(run_loop_test, loop_is_stopped_returns)
{
    boost::asio::io_context io;
    simulation::counting_sink events;
    const auto work = boost::asio::make_work_guard(io);
    boost::asio::post(io, [&] { io.stop(); });
    run_loop(io, events);
    EXPECT_EQ(events.count("handler_raised"), 0U);
}

} // namespace
} // namespace savoryreach::daemon
