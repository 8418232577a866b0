#include "savoryreach/daemon/rejection_log.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <utility>

namespace savoryreach::daemon
{

void rejection_log::record(const std::string& cause, const std::string& from, std::size_t kept)
{
    ++counts_[cause];
    constexpr int max_lines = 10;
    constexpr std::chrono::seconds lines_interval(1);
    const auto now = std::chrono::steady_clock::now();
    if (now >= lines_reset_at_)
    {
        lines_reset_at_ = now + lines_interval;
        lines_ = 0;
    }
    if (++lines_ > max_lines)
    {
        ++omitted_lines_;
        return;
    }
    log(log_level::warning, "connection_rejected",
        {{"service", service_},
         {"cause", cause},
         {"from", from},
         {"memory", std::to_string(kept)},
         {"omitted", std::to_string(std::exchange(omitted_lines_, 0))}});
}

void rejection_log::write_metrics(observe::metrics& out) const
{
    for (const auto& [cause, n] : counts_)
    {
        out.counter_of("savoryreach_connections_rejected_total",
                       "connections closed for what they sent or made this process keep",
                       {{"service", service_}, {"cause", cause}}) = n;
    }
}

} // namespace savoryreach::daemon
