#ifndef SAVORYREACH_OBSERVE_EVENT_LINE_HPP
#define SAVORYREACH_OBSERVE_EVENT_LINE_HPP

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryreach::observe
{

/// One event as a line of key=value pairs. Values with spaces or other special bytes are quoted.
struct event_line
{
    std::uint64_t hlc = 0;
    absl::Time wall;
    std::string process;
    std::uint64_t incarnation = 0;
    std::string kind;
    std::vector<std::pair<std::string, std::string>> fields;

    /// The value of a field, or an empty string.
    [[nodiscard]] std::string_view field(std::string_view key) const;

    /// The line without its newline.
    [[nodiscard]] std::string to_text() const;

    /// Nullopt when \p text is not a complete event line.
    [[nodiscard]] static std::optional<event_line> parse(std::string_view text);

    /// The event in a line of a process's log, whatever precedes it in the line. A log without
    /// hybrid clocks is put in order by its wall clock. Nullopt when \p text is no such line.
    [[nodiscard]] static std::optional<event_line> parse_log(std::string_view text);

    friend bool operator==(const event_line&, const event_line&) = default;
};

/// Appends "key=value" after a space; values that would break the form are quoted.
void append_field(std::string& out, std::string_view key, std::string_view value);

} // namespace savoryreach::observe

#endif
