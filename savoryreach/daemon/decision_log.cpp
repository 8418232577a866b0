#include "savoryreach/daemon/decision_log.hpp"

#include "savoryreach/daemon/logger.hpp"

namespace savoryreach::daemon
{

void decision_log::record(std::string_view kind, std::initializer_list<observe::event_field> fields)
{
    const auto now = clock_.now();
    auto& window = windows_[std::string(kind)];
    if (now >= window.ends_at)
    {
        if (window.skipped > 0)
        {
            log(log_level::warning, "lines_left_out",
                {{"kind", std::string(kind)}, {"count", std::to_string(window.skipped)}});
        }
        window = {now + absl::Seconds(1), 0, 0};
    }
    if (window.written >= max_lines_per_second)
    {
        ++window.skipped;
        return;
    }
    ++window.written;
    log(log_level::info, kind, fields);
}

} // namespace savoryreach::daemon
