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

/// Writes the decisions of the cores to the process's log: one line each, at most so many of a kind
/// in a second, with a count of those that were left out.
class decision_log final : public observe::event_sink
{
public:
    explicit decision_log(const base::clock& clock) : clock_(clock) {}

    void record(std::string_view kind, std::initializer_list<observe::event_field> fields) override;

    /// Lines of one kind in a second: the grown sites hand in 750 jobs a second.
    static constexpr std::uint32_t lines_per_second = 800;

private:
    struct volume
    {
        absl::Time second_ends;
        std::uint32_t written = 0;
        std::uint32_t left_out = 0;
    };

    const base::clock& clock_;
    absl::flat_hash_map<std::string, volume> volumes_; ///< by kind
};

} // namespace savoryreach::daemon

#endif
