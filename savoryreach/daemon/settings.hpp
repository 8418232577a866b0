#ifndef SAVORYREACH_DAEMON_SETTINGS_HPP
#define SAVORYREACH_DAEMON_SETTINGS_HPP

#include "schema/generated/settings.pb.h"

#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <vector>

namespace savoryreach::daemon
{

/// Fills \p settings (entry_settings, agent_settings or keeper_settings) from JSON with comments,
/// applies the defaults and checks all fields. Returns false on any error; \p errors then lists all
/// of them, each with \p file, field, value and allowed values.
[[nodiscard]] bool parse_settings(const std::string& text, const std::string& file,
                                  google::protobuf::Message& settings,
                                  std::vector<std::string>& errors);

/// Reads the settings of one daemon from the file at \p path; errors as with parse_settings.
template <typename Settings>
[[nodiscard]] std::optional<Settings> read_settings(const std::string& path,
                                                    std::vector<std::string>& errors);

extern template std::optional<schema::entry_settings> read_settings(const std::string&,
                                                                    std::vector<std::string>&);
extern template std::optional<schema::agent_settings> read_settings(const std::string&,
                                                                    std::vector<std::string>&);
extern template std::optional<schema::keeper_settings> read_settings(const std::string&,
                                                                     std::vector<std::string>&);

/// The text of docs/settings.md, generated from the table that defines defaults and checks.
[[nodiscard]] std::string settings_reference();

/// True for "ip:port" or "[ipv6]:port" with a port of 1 to 65535.
[[nodiscard]] bool is_address(const std::string& text);

} // namespace savoryreach::daemon

#endif
