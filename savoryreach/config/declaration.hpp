#ifndef SAVORYREACH_CONFIG_DECLARATION_HPP
#define SAVORYREACH_CONFIG_DECLARATION_HPP

#include "savoryreach/base/error.hpp"
#include "schema/generated/ledger.pb.h"

#include <cstddef>
#include <optional>
#include <string>

namespace savoryreach::config
{

/// Newest schema_version of a declaration that this program knows.
inline constexpr std::uint32_t newest_declaration_version = 2;

/// Longest name of a declaration, kind or team, bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// Checks a declaration in full. Nullopt when it is valid; otherwise the reason names the
/// declaration, the field, its value and the allowed range.
[[nodiscard]] std::optional<base::reason> validate(const schema::declaration& declaration);

/// Hexadecimal digest of the deterministic serialisation; equal for equal declarations.
[[nodiscard]] std::string declaration_digest(const schema::declaration& declaration);

} // namespace savoryreach::config

#endif
