#ifndef SAVORYREACH_STORAGE_NUMBERED_NAME_HPP
#define SAVORYREACH_STORAGE_NUMBERED_NAME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::storage
{

/// Ending of files that are not complete yet; they are removed at the next start.
inline constexpr std::string_view temporary_ending = ".tmp";

/// "<prefix><20 digits>", so that the order of names is the order of numbers.
[[nodiscard]] std::string numbered_name(std::string_view prefix, std::uint64_t number);

/// The number of a name made by numbered_name with this prefix; nullopt for any other name.
[[nodiscard]] std::optional<std::uint64_t> number_in(std::string_view name,
                                                     std::string_view prefix);

} // namespace savoryreach::storage

#endif
