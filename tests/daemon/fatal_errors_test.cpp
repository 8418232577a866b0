#include "savoryreach/daemon/fatal_errors.hpp"

#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/logger.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <stdexcept>
#include <unistd.h>

namespace savoryreach::daemon
{
namespace
{

/// Runs \p handler as an event loop would that lets no error through.
void run_noexcept(const std::function<void()>& handler) noexcept
{
    const base::system_clock clock;
    observe::hybrid_clock hybrid(clock);
    ::dup2(STDERR_FILENO, STDOUT_FILENO);
    open_buffered_log("edge", hybrid);
    log_fatal_errors("edge");
    log(log_level::info, "last_decision", {});
    handler();
}

class fatal_errors_test : public ::testing::Test
{
protected:
    // The log library has threads.
    fatal_errors_test() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

TEST_F(fatal_errors_test, exception_that_nothing_catches_is_the_logged_reason)
{
    EXPECT_EXIT(run_noexcept([] { throw std::runtime_error("no more descriptors"); }),
                ::testing::KilledBySignal(SIGABRT),
                "event=last_decision.*\n.*event=process_ends.*\"no more descriptors\"");
}

TEST_F(fatal_errors_test, fatal_signal_is_logged_with_the_last_lines)
{
    EXPECT_EXIT(run_noexcept([] { ::raise(SIGSEGV); }), ::testing::KilledBySignal(SIGSEGV),
                "event=process_ends reason=\"signal 11\".*\n.*event=last_decision");
}

} // namespace
} // namespace savoryreach::daemon
