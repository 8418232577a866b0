#include "savoryreach/daemon/logger.hpp"

#include "savoryreach/observe/event_line.hpp"

#include <absl/strings/str_cat.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <fcntl.h>
#include <memory>
#include <sstream>
#include <unistd.h>

namespace savoryreach::daemon
{
namespace
{

std::string process_name;
/// Source of the `hlc` field of each line; null when lines carry none.
observe::hybrid_clock* line_clock = nullptr;

/// Buffers lines until flush_log().
class buffered_appender final : public log4cplus::Appender
{
public:
    ~buffered_appender() override { destructorImpl(); }
    void close() override { closed = true; }

    void flush()
    {
        const log4cplus::thread::MutexGuard guard(access_mutex);
        while (!lines_.empty())
        {
            const auto n = ::write(STDOUT_FILENO, lines_.data(), lines_.size());
            if (n <= 0)
            {
                break;
            }
            lines_.erase(0, static_cast<std::size_t>(n));
        }
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        if (lines_.size() > max_bytes)
        {
            ++dropped_;
            return;
        }
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        if (dropped_ > 0)
        {
            line << "event=log_lines_dropped count=" << dropped_ << "\n";
            dropped_ = 0;
        }
        lines_ += line.str();
    }

private:
    /// Bound on buffered lines, equal to a few seconds of output of a busy process.
    static constexpr std::size_t max_bytes = 512UL * 1024;

    std::string lines_;
    std::uint64_t dropped_ = 0;
};

log4cplus::helpers::SharedObjectPtr<buffered_appender> buffered;

} // namespace

void open_buffered_log(const std::string& process, observe::hybrid_clock& hybrid)
{
    line_clock = &hybrid;
    static const log4cplus::Initializer initializer;
    log4cplus::setThreadPoolSize(0); // lines are written by the caller
    process_name = process;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    buffered = new buffered_appender();
    buffered->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr(buffered.get()));
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void flush_log()
{
    if (buffered)
    {
        buffered->flush();
    }
}

void open_log(const std::string& file, const std::string& process)
{
    static const log4cplus::Initializer initializer;
    process_name = process;
    log4cplus::SharedAppenderPtr appender;
    if (file.empty())
    {
        appender = new log4cplus::ConsoleAppender(true, true);
    }
    else
    {
        appender = new log4cplus::FileAppender(file, std::ios_base::app);
    }
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void log(log_level level, std::string_view event,
         std::initializer_list<observe::event_field> fields)
{
    auto line = absl::StrCat("process=", process_name, " event=", std::string(event));
    if (line_clock != nullptr)
    {
        absl::StrAppend(&line, " hlc=", line_clock->now());
    }
    for (const auto& [key, value] : fields)
    {
        observe::append_field(line, key, value);
    }
    const auto root = log4cplus::Logger::getRoot();
    switch (level)
    {
    case log_level::info:
        LOG4CPLUS_INFO(root, line);
        break;
    case log_level::warning:
        LOG4CPLUS_WARN(root, line);
        break;
    case log_level::error:
        LOG4CPLUS_ERROR(root, line);
        break;
    }
}

} // namespace savoryreach::daemon
