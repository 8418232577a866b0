#include "savoryreach/base/json_reader.hpp"

#include <boost/locale/utf.hpp>

#include <charconv>
#include <cstdint>
#include <memory>
#include <string_view>

namespace savoryreach::base
{
namespace
{

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

} // namespace

std::optional<Json::Value> read_json(const Json::CharReaderBuilder& rules, const std::string& text,
                                     std::string& error)
{
    if (!is_utf8(text) || !has_paired_surrogates(text))
    {
        error = "text is not UTF-8";
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
