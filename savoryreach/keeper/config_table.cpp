#include "savoryreach/keeper/config_table.hpp"

#include "savoryreach/base/digest.hpp"
#include "savoryreach/base/error.hpp"
#include "savoryreach/config/declaration.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::keeper
{
namespace
{

schema::apply_config_reply refused(base::error_kind kind, std::string text, std::uint64_t revision)
{
    schema::apply_config_reply reply;
    reply.set_error_kind(static_cast<std::uint32_t>(kind));
    reply.set_reason(std::move(text));
    reply.set_config_revision(revision);
    return reply;
}

} // namespace

schema::apply_config_reply config_table::apply(const schema::declaration& declaration,
                                               bool& changed)
{
    const auto it = named_.find(declaration.name());
    if (it != named_.end())
    {
        const auto& current = it->second.declaration();
        if (declaration.version() < current.version())
        {
            return refused(base::error_kind::version_too_low,
                           absl::StrCat(declaration.name(), " is at version ", current.version(),
                                        ", not ", declaration.version()),
                           it->second.config_revision());
        }
        const auto held = config::declaration_digest(current);
        const auto offered = config::declaration_digest(declaration);
        if (declaration.version() == current.version() && held != offered)
        {
            return refused(base::error_kind::version_conflict,
                           absl::StrCat(declaration.name(), " version ", declaration.version(),
                                        " has digest ", held, ", not ", offered),
                           it->second.config_revision());
        }
        if (declaration.version() == current.version())
        {
            schema::apply_config_reply reply;
            reply.set_accepted(true);
            reply.set_config_revision(it->second.config_revision());
            return reply;
        }
        by_revision_.erase(it->second.config_revision());
    }
    auto& entry = named_[declaration.name()];
    entry.set_config_revision(++revision_);
    *entry.mutable_declaration() = declaration;
    by_revision_[revision_] = declaration.name();
    derive_retention();
    changed = true;
    schema::apply_config_reply reply;
    reply.set_accepted(true);
    reply.set_config_revision(revision_);
    return reply;
}

void config_table::derive_retention()
{
    retention_ms_ = default_retention_ms;
    max_claims_ = default_max_claims;
    std::uint64_t latest = 0;
    for (const auto& [name, entry] : named_)
    {
        if (entry.declaration().has_retention() && entry.config_revision() > latest)
        {
            latest = entry.config_revision();
            retention_ms_ = entry.declaration().retention().claim_retention_ms();
            max_claims_ = entry.declaration().retention().max_claims();
        }
    }
    retention_ms_ = std::max(retention_ms_, shortest_retention_ms);
}

void config_table::fill_view(schema::cluster_view& view, std::uint64_t known_revision) const
{
    view.set_config_revision(revision_);
    view.set_config_complete(known_revision == 0);
    for (auto it = by_revision_.upper_bound(known_revision); it != by_revision_.end(); ++it)
    {
        *view.add_config() = named_.at(it->second);
    }
}

void config_table::save(schema::ledger_snapshot& snapshot) const
{
    fill_view(*snapshot.mutable_view(), 0);
}

void config_table::load(const schema::ledger_snapshot& snapshot)
{
    named_.clear();
    by_revision_.clear();
    revision_ = snapshot.view().config_revision();
    for (const auto& entry : snapshot.view().config())
    {
        named_[entry.declaration().name()] = entry;
        by_revision_[entry.config_revision()] = entry.declaration().name();
    }
    derive_retention();
}

std::uint64_t config_table::hash() const
{
    std::uint64_t hash = revision_;
    for (const auto& [name, entry] : named_)
    {
        hash = base::stable_hash(entry.SerializeAsString(), hash);
    }
    return hash;
}

} // namespace savoryreach::keeper
