#include "savoryreach/base/json_reader.hpp"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string_view>

namespace savoryreach::base
{
namespace
{

/// Enough for the longest configuration, 4 MiB, with a value for every eight bytes.
std::atomic<std::size_t> max_items{512UL * 1024};

/// Upper bound of the values in \p text, with objects and arrays twice.
std::size_t count_items(std::string_view text)
{
    std::size_t out = 1;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] == '"')
        {
            for (++n; n < text.size() && text[n] != '"'; ++n)
            {
                n += text[n] == '\\' ? 1 : 0;
            }
            continue;
        }
        out += text[n] == ',' ? 1 : 0;
        out += text[n] == '[' || text[n] == '{' ? 2 : 0;
    }
    return out;
}

bool is_utf8(std::string_view text)
{
    using utf8 = boost::locale::utf::utf_traits<char>;
    const auto* it = text.data();
    const auto* const end = it + text.size();
    while (it != end)
    {
        constexpr unsigned char first_beyond_ascii = 0x80;
        if (static_cast<unsigned char>(*it) < first_beyond_ascii)
        {
            ++it;
            continue;
        }
        const auto code_point = utf8::decode(it, end);
        if (code_point == boost::locale::utf::illegal ||
            code_point == boost::locale::utf::incomplete)
        {
            return false;
        }
    }
    return true;
}

/// The UTF-16 unit of the escape sequence at the start of \p text; nullopt when there is none.
std::optional<std::uint32_t> escaped_unit(std::string_view text)
{
    constexpr std::size_t digits = 4;
    constexpr int base = 16;
    if (!text.starts_with("\\u") || text.size() < 2 + digits)
    {
        return std::nullopt;
    }
    std::uint32_t unit = 0;
    const auto* const first = text.data() + 2;
    const auto [end, ec] = std::from_chars(first, first + digits, unit, base);
    return ec == std::errc() && end == first + digits ? std::optional(unit) : std::nullopt;
}

bool has_paired_surrogates(std::string_view text)
{
    constexpr std::size_t escape_size = 6;
    const auto is_high = [](std::uint32_t unit)
    {
        return unit >= 0xd800 && unit <= 0xdbff;
    };
    const auto is_low = [](std::uint32_t unit)
    {
        return unit >= 0xdc00 && unit <= 0xdfff;
    };
    for (auto at = text.find('\\'); at != std::string_view::npos; at = text.find('\\', at))
    {
        const auto unit = escaped_unit(text.substr(at));
        if (!unit || (!is_high(*unit) && !is_low(*unit)))
        {
            at += 2; // skips the character after the backslash, which may be another one
            continue;
        }
        const auto next = at + escape_size <= text.size()
                              ? escaped_unit(text.substr(at + escape_size))
                              : std::nullopt;
        if (is_low(*unit) || !next || !is_low(*next))
        {
            return false;
        }
        at += 2 * escape_size;
    }
    return true;
}

/// Length of the JSON number at the start of \p text; 0 when there is none.
std::size_t number_size(std::string_view text)
{
    std::size_t n = 0;
    const auto at = [&](std::string_view any)
    {
        return n < text.size() && any.find(text[n]) != std::string_view::npos;
    };
    const auto skip_digits = [&]
    {
        const auto begin = n;
        n = std::min(text.find_first_not_of("0123456789", n), text.size());
        return n > begin;
    };
    n += at("-") ? 1 : 0;
    if (at("0"))
    {
        ++n;
    }
    else if (!skip_digits())
    {
        return 0;
    }
    if (at("."))
    {
        ++n;
        if (!skip_digits())
        {
            return 0;
        }
    }
    if (at("eE"))
    {
        ++n;
        n += at("+-") ? 1 : 0;
        if (!skip_digits())
        {
            return 0;
        }
    }
    return n;
}

/// Length of the JSON string at the start of \p text; 0 when there is none.
std::size_t string_size(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    for (std::size_t n = 1; n < text.size(); ++n)
    {
        if (text[n] == '"')
        {
            return n + 1;
        }
        if (static_cast<unsigned char>(text[n]) < first_printable)
        {
            return 0;
        }
        n += text[n] == '\\' ? 1 : 0;
    }
    return 0;
}

} // namespace

bool has_json_tokens(std::string_view text)
{
    while (!text.empty())
    {
        std::size_t n = 1;
        if (text.front() == '"')
        {
            n = string_size(text);
        }
        else if (text.front() == '-' || (text.front() >= '0' && text.front() <= '9'))
        {
            n = number_size(text);
            // Two tokens without a separator, such as the digits after a leading 0.
            const auto next = text.substr(n);
            n = next.empty() ||
                        std::string_view(",]} \t\r\n").find(next.front()) != std::string_view::npos
                    ? n
                    : 0;
        }
        else if (std::string_view("{}[],: \t\r\n").find(text.front()) == std::string_view::npos)
        {
            constexpr std::string_view words[] = {"true", "false", "null"};
            const auto* const word =
                std::ranges::find_if(words, [&](auto it) { return text.starts_with(it); });
            n = word == std::end(words) ? 0 : word->size();
        }
        if (n == 0)
        {
            return false;
        }
        text.remove_prefix(n);
    }
    return true;
}

void limit_json_items(std::size_t count)
{
    max_items = count;
}

std::optional<Json::Value> read_json(const Json::CharReaderBuilder& rules, const std::string& text,
                                     std::string& error)
{
    if (!is_utf8(text) || !has_paired_surrogates(text))
    {
        error = "text is not UTF-8";
        return std::nullopt;
    }
    if (count_items(text) > max_items)
    {
        error = "too many values";
        return std::nullopt;
    }
    const std::unique_ptr<Json::CharReader> reader(rules.newCharReader());
    Json::Value out;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &out, &error))
        {
            return out;
        }
    }
    catch (const Json::Exception& exception)
    {
        error = exception.what(); // JsonCpp throws when the nesting is too deep
    }
    return std::nullopt;
}

} // namespace savoryreach::base
