#ifndef SAVORYREACH_OBSERVE_TIMELINE_HPP
#define SAVORYREACH_OBSERVE_TIMELINE_HPP

#include "savoryreach/observe/event_line.hpp"

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace savoryreach::observe
{

/// The events of several processes in the order of their hybrid clocks.
class timeline
{
public:
    /// Which events are wanted; an empty text matches all.
    struct filter
    {
        std::string submission;
        std::string process;
        std::string kind;
        absl::Time from = absl::InfinitePast(); ///< by the hybrid clock, inclusive
        absl::Time to = absl::InfiniteFuture(); ///< by the hybrid clock, exclusive
    };

    /// Adds the events of an event file or of processes' logs; "-" is standard input. False when it
    /// can't be read.
    [[nodiscard]] bool add_file(const std::string& path);

    /// Adds the events of \p text, one line each, in the form of event files or of logs.
    void add_text(std::string_view text);

    /// Lines that are no events, such as the last one of a process that was killed.
    [[nodiscard]] std::size_t malformed_lines() const { return malformed_lines_; }

    /// The wanted events in order.
    [[nodiscard]] std::vector<event_line> select(const filter& wanted) const;

    /// The wanted events as lines that event_line parses.
    [[nodiscard]] std::string to_text(const filter& wanted) const;

    /// The wanted events as trace-event JSON. The run of a task becomes a bar, all else an instant.
    [[nodiscard]] std::string to_trace_json(const filter& wanted) const;

private:
    std::vector<event_line> events_;  ///< In order of hlc, then process.
    std::size_t malformed_lines_ = 0; ///< Lines left out.
};

} // namespace savoryreach::observe

#endif
