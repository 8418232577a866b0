#include "savoryreach/dispatch/task_id.hpp"

#include <absl/strings/str_format.h>

#include <charconv>

namespace savoryreach::dispatch
{

std::string format_job_id(std::uint64_t job)
{
    return absl::StrFormat("%016x", job);
}

bool parse_job_id(std::string_view path, std::string_view prefix, std::uint64_t& id)
{
    constexpr int base = 16;
    if (path.size() != prefix.size() + job_id_digits || !path.starts_with(prefix))
    {
        return false;
    }
    const auto text = path.substr(prefix.size());
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id, base);
    // Accepts the canonical text only (lower-case digits), so that a job has one path.
    return ec == std::errc() && end == text.data() + text.size() && format_job_id(id) == text;
}

} // namespace savoryreach::dispatch
