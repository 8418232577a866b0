#ifndef SAVORYREACH_DAEMON_SETTINGS_TABLE_HPP
#define SAVORYREACH_DAEMON_SETTINGS_TABLE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace savoryreach::daemon
{

/// Form of a setting's value.
enum class setting_form
{
    number,           ///< whole number in a range
    name,             ///< 1 to 128 bytes
    path,             ///< non-empty text
    optional_path,    ///< text, may be empty
    address,          ///< "ip:port"
    optional_address, ///< "ip:port", or empty
    flag,             ///< true or false
    name_list,        ///< names, may be empty
    keeper_list,      ///< 1 to 7 objects with name and address
};

/// One setting. The table defines defaults, checks and docs/settings.md.
struct setting_row
{
    std::string_view message; ///< schema message that has the field
    std::string_view field;
    setting_form form;
    std::string_view unit;       ///< of a number
    std::uint32_t default_value; ///< of a number; 0 when the number is required
    std::uint32_t min_value;     ///< of a number
    std::uint32_t max_value;     ///< of a number
    std::string_view meaning;
};

/// All settings, in the order of schema/settings.proto.
[[nodiscard]] std::span<const setting_row> settings_table();

/// Text for the values that a form allows, such as "true or false".
[[nodiscard]] std::string_view form_text(setting_form form);

} // namespace savoryreach::daemon

#endif
