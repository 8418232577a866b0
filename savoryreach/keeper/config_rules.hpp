#ifndef SAVORYREACH_KEEPER_CONFIG_RULES_HPP
#define SAVORYREACH_KEEPER_CONFIG_RULES_HPP

#include "savoryreach/base/error.hpp"
#include "schema/generated/ledger.pb.h"

#include <optional>
#include <string>

namespace savoryreach::keeper
{

/// The keeper's only access to the rules for declarations in savoryreach/config.
/// Nullopt when \p declaration may be accepted.
[[nodiscard]] std::optional<base::reason> check_declaration(const schema::declaration& declaration);

/// Text that is equal exactly for equal declarations.
[[nodiscard]] std::string digest_of(const schema::declaration& declaration);

} // namespace savoryreach::keeper

#endif
