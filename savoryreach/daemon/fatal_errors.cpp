#include "savoryreach/daemon/fatal_errors.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <unistd.h>

namespace savoryreach::daemon
{
namespace
{

constexpr std::array fatal_signals = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};
constexpr std::size_t max_name_bytes = 64;

std::array<char, max_name_bytes> process_name;

/// Writes the line without the log, whose state may be what is damaged.
void write_line(int number)
{
    const auto now =
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto day = std::chrono::floor<std::chrono::days>(now);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(now - day);
    std::array<char, 256> line;
    const int n = std::snprintf(
        line.data(), line.size(),
        "time=%04d-%02u-%02uT%02d:%02d:%02d.%03dZ level=ERROR process=%s event=process_ends "
        "reason=\"signal %d\"\n",
        static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
        static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
        static_cast<int>(time.subseconds().count()), process_name.data(), number);
    if (n > 0)
    {
        (void)!::write(STDOUT_FILENO, line.data(), static_cast<std::size_t>(n));
    }
}

void on_fatal_signal(int number)
{
    write_line(number);
    // The last decisions; a second error in here ends the process at once.
    flush_log();
    // Blocked until this handler returns; then ends the process as without a handler.
    (void)::raise(number);
}

[[noreturn]] void on_terminate()
{
    std::signal(SIGABRT, SIG_DFL);
    std::string reason = "terminate without an exception";
    if (const auto error = std::current_exception())
    {
        try
        {
            std::rethrow_exception(error);
        }
        catch (const std::exception& it)
        {
            reason = it.what();
        }
        catch (...)
        {
            reason = "an exception of an unknown type";
        }
    }
    log(log_level::error, "process_ends", {{"reason", reason}});
    flush_log();
    std::abort();
}

} // namespace

void log_fatal_errors(const std::string& process)
{
    std::snprintf(process_name.data(), process_name.size(), "%s", process.c_str());
    std::set_terminate(&on_terminate);
    for (const int it : fatal_signals)
    {
        struct sigaction present = {};
        // A handler of the platform stays.
        if (::sigaction(it, nullptr, &present) == 0 && present.sa_handler == SIG_DFL)
        {
            struct sigaction wanted = {};
            wanted.sa_handler = &on_fatal_signal;
            wanted.sa_flags = static_cast<int>(SA_RESETHAND);
            ::sigaction(it, &wanted, nullptr);
        }
    }
}

} // namespace savoryreach::daemon
