#include "savoryreach/keeper/config_rules.hpp"

#include "savoryreach/base/digest.hpp"

namespace savoryreach::keeper
{

// Stand-ins until savoryreach/config/declaration.hpp is merged; then these functions forward to
// config::validate and config::declaration_digest.
std::optional<base::reason> check_declaration(const schema::declaration& declaration)
{
    if (declaration.name().empty() || declaration.version() == 0)
    {
        return base::reason{base::error_kind::out_of_range, "name and version must be set"};
    }
    if (declaration.schema_version() < 1 || declaration.schema_version() > 2)
    {
        return base::reason{base::error_kind::unknown_version, "schema_version must be 1 or 2"};
    }
    if (declaration.body_case() == schema::declaration::BODY_NOT_SET)
    {
        return base::reason{base::error_kind::wrong_type, "a declaration needs a body"};
    }
    return std::nullopt;
}

std::string digest_of(const schema::declaration& declaration)
{
    return base::to_hex(base::content_digest(declaration.SerializeAsString()));
}

} // namespace savoryreach::keeper
