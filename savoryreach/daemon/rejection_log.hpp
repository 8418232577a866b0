#ifndef SAVORYREACH_DAEMON_REJECTION_LOG_HPP
#define SAVORYREACH_DAEMON_REJECTION_LOG_HPP

#include "savoryreach/observe/metrics.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace savoryreach::daemon
{

/// Counts the connections of a service that were closed for what they sent, by cause, and logs them
/// in a bounded number of lines.
class rejection_log
{
public:
    explicit rejection_log(std::string service) : service_(std::move(service)) {}

    /// \p kept is the memory that the connections of the service keep, in bytes.
    void record(const std::string& cause, const std::string& from, std::size_t kept);
    void write_metrics(observe::metrics& out) const;

private:
    std::string service_;
    std::map<std::string, std::uint64_t> counts_; ///< by cause
    std::chrono::steady_clock::time_point lines_reset_at_;
    int lines_ = 0;                   ///< until the reset
    std::uint64_t omitted_lines_ = 0; ///< since the last line
};

} // namespace savoryreach::daemon

#endif
