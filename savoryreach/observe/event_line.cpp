#include "savoryreach/observe/event_line.hpp"

#include "savoryreach/observe/hybrid_clock.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <span>

namespace savoryreach::observe
{
namespace
{

constexpr std::string_view wall_format = "%Y-%m-%dT%H:%M:%E6SZ";

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool is_plain(std::string_view value)
{
    return !value.empty() &&
           std::ranges::all_of(value,
                               [](char c)
                               {
                                   return absl::ascii_isgraph(static_cast<unsigned char>(c)) &&
                                          c != '"' && c != '=' && c != '\\';
                               });
}

/// Length of the quoted value at the start of \p text with both quotes, or 0.
std::size_t quoted_length(std::string_view text)
{
    for (std::size_t i = 1; i < text.size(); ++i)
    {
        if (text[i] == '\\')
        {
            ++i;
        }
        else if (text[i] == '"')
        {
            return i + 1;
        }
    }
    return 0;
}

/// Takes one key=value pair off \p text.
std::optional<std::pair<std::string, std::string>> take_pair(std::string_view& text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || !is_plain(text.substr(0, equals)))
    {
        return std::nullopt;
    }
    std::pair<std::string, std::string> out(text.substr(0, equals), "");
    text.remove_prefix(equals + 1);
    std::size_t length = 0;
    if (text.starts_with('"'))
    {
        length = quoted_length(text);
        if (length == 0 || !absl::CUnescape(view(text.substr(1, length - 2)), &out.second))
        {
            return std::nullopt;
        }
    }
    else
    {
        length = std::min(text.find(' '), text.size());
        out.second = text.substr(0, length);
        if (!is_plain(out.second))
        {
            return std::nullopt;
        }
    }
    text.remove_prefix(length);
    if (!text.empty() && (text[0] != ' ' || text.size() == 1))
    {
        return std::nullopt;
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return out;
}

/// All pairs of a line; none when it is malformed.
std::vector<std::pair<std::string, std::string>> take_pairs(std::string_view text)
{
    std::vector<std::pair<std::string, std::string>> out;
    while (!text.empty())
    {
        auto pair = take_pair(text);
        if (!pair)
        {
            return {};
        }
        out.push_back(std::move(*pair));
    }
    return out;
}

bool starts_with(const std::vector<std::pair<std::string, std::string>>& pairs,
                 std::span<const std::string_view> keys)
{
    return pairs.size() >= keys.size() &&
           std::ranges::equal(keys, std::span(pairs).first(keys.size()), {}, {},
                              &std::pair<std::string, std::string>::first);
}

} // namespace

void append_field(std::string& out, std::string_view key, std::string_view value)
{
    absl::StrAppend(&out, out.empty() ? "" : " ", view(key), "=");
    if (is_plain(value))
    {
        out += value;
    }
    else
    {
        absl::StrAppend(&out, "\"", absl::CEscape(view(value)), "\"");
    }
}

std::string_view event_line::field(std::string_view key) const
{
    const auto it = std::ranges::find(fields, key, &std::pair<std::string, std::string>::first);
    return it == fields.end() ? std::string_view() : it->second;
}

std::string event_line::to_text() const
{
    std::string out;
    append_field(out, "hlc", std::to_string(hlc));
    append_field(out, "wall", absl::FormatTime(view(wall_format), wall, absl::UTCTimeZone()));
    append_field(out, "process", process);
    append_field(out, "incarnation", std::to_string(incarnation));
    append_field(out, "kind", kind);
    for (const auto& [key, value] : fields)
    {
        append_field(out, key, value);
    }
    return out;
}

std::optional<event_line> event_line::parse(std::string_view text)
{
    const auto pairs = take_pairs(text);
    constexpr std::size_t leading = 5;
    constexpr std::string_view keys[leading] = {"hlc", "wall", "process", "incarnation", "kind"};
    event_line out;
    if (!starts_with(pairs, keys) || !absl::SimpleAtoi(pairs[0].second, &out.hlc) ||
        !absl::ParseTime(view(wall_format), pairs[1].second, &out.wall, nullptr) ||
        !absl::SimpleAtoi(pairs[3].second, &out.incarnation))
    {
        return std::nullopt;
    }
    out.process = pairs[2].second;
    out.kind = pairs[4].second;
    out.fields.assign(pairs.begin() + leading, pairs.end());
    return out;
}

std::optional<event_line> event_line::parse_log(std::string_view text)
{
    constexpr std::string_view keys[] = {"time", "level", "process", "event"};
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto pairs = take_pairs(text.substr(begin));
    event_line out;
    if (!starts_with(pairs, keys) ||
        !absl::ParseTime(view(wall_format), pairs[0].second, &out.wall, nullptr))
    {
        return std::nullopt;
    }
    out.process = pairs[2].second;
    out.kind = pairs[3].second;
    out.hlc = hybrid_clock::first_at(out.wall);
    for (auto it = pairs.begin() + std::size(keys); it != pairs.end(); ++it)
    {
        if (it->first != "hlc" || !absl::SimpleAtoi(it->second, &out.hlc))
        {
            out.fields.push_back(*it);
        }
    }
    return out;
}

} // namespace savoryreach::observe
