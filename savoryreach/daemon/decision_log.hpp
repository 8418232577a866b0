#ifndef SAVORYREACH_DAEMON_DECISION_LOG_HPP
#define SAVORYREACH_DAEMON_DECISION_LOG_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/observe/event_sink.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace savoryreach::daemon
{

/// Writes the events of a core to the process's log, one line each. Lines of one kind beyond a
/// limit per second are skipped, and their number is logged.
class decision_log final : public observe::event_sink
{
public:
    explicit decision_log(const base::clock& clock) : clock_(clock) {}

    void record(std::string_view kind, std::initializer_list<observe::event_field> fields) override;

    /// Limit for each kind of event, above the 750 jobs per second that large sites submit.
    static constexpr std::uint32_t max_lines_per_second = 800;

private:
    struct window
    {
        absl::Time ends_at;
        std::uint32_t written = 0;
        std::uint32_t skipped = 0;
    };

    const base::clock& clock_;
    absl::flat_hash_map<std::string, window> windows_; ///< by kind
};

} // namespace savoryreach::daemon

#endif
