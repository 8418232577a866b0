#include "savoryreach/daemon/decision_log.hpp"

#include "savoryreach/daemon/logger.hpp"

namespace savoryreach::daemon
{

void decision_log::record(std::string_view kind, std::initializer_list<observe::event_field> fields)
{
    const auto now = clock_.now();
    auto& it = volumes_[std::string(kind)];
    if (now >= it.second_ends)
    {
        if (it.left_out > 0)
        {
            log(log_level::warning, "lines_left_out",
                {{"kind", std::string(kind)}, {"count", std::to_string(it.left_out)}});
        }
        it = {now + absl::Seconds(1), 0, 0};
    }
    if (it.written >= lines_per_second)
    {
        ++it.left_out;
        return;
    }
    ++it.written;
    log(log_level::info, kind, fields);
}

} // namespace savoryreach::daemon
