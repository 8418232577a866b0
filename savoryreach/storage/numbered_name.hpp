#ifndef SAVORYREACH_STORAGE_NUMBERED_NAME_HPP
#define SAVORYREACH_STORAGE_NUMBERED_NAME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::storage
{

/// Suffix of incomplete files; recovery removes them at the next start.
inline constexpr std::string_view temporary_suffix = ".tmp";

/// "<prefix><20 digits>", so that names sort in numeric order.
[[nodiscard]] std::string numbered_name(std::string_view prefix, std::uint64_t number);

/// The number in a name made by numbered_name with this prefix; nullopt for any other name.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view name,
                                                        std::string_view prefix);

} // namespace savoryreach::storage

#endif
