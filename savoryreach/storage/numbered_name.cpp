#include "savoryreach/storage/numbered_name.hpp"

#include <charconv>

namespace savoryreach::storage
{
namespace
{

constexpr std::size_t number_digits = 20; // digits of the largest 64-bit number

} // namespace

std::string numbered_name(std::string_view prefix, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(prefix) + std::string(number_digits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> parse_number(std::string_view name, std::string_view prefix)
{
    if (name.size() != prefix.size() + number_digits || name.substr(0, prefix.size()) != prefix)
    {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto [end, ec] =
        std::from_chars(name.data() + prefix.size(), name.data() + name.size(), number);
    if (ec != std::errc() || end != name.data() + name.size())
    {
        return std::nullopt;
    }
    return number;
}

} // namespace savoryreach::storage
