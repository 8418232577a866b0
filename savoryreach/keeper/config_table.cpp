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

schema::apply_config_reply make_refusal(base::error_kind kind, std::string text,
                                        std::uint64_t revision)
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
    const auto it = by_name_.find(declaration.name());
    if (it != by_name_.end())
    {
        const auto& current = it->second.declaration();
        if (declaration.version() < current.version())
        {
            return make_refusal(base::error_kind::version_too_low,
                                absl::StrCat(declaration.name(), " is at version ",
                                             current.version(), ", not ", declaration.version()),
                                it->second.config_revision());
        }
        const auto current_digest = config::declaration_digest(current);
        const auto new_digest = config::declaration_digest(declaration);
        if (declaration.version() == current.version() && current_digest != new_digest)
        {
            return make_refusal(base::error_kind::version_conflict,
                                absl::StrCat(declaration.name(), " version ", declaration.version(),
                                             " has digest ", current_digest, ", not ", new_digest),
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
    auto& entry = by_name_[declaration.name()];
    entry.set_config_revision(++revision_);
    *entry.mutable_declaration() = declaration;
    by_revision_[revision_] = declaration.name();
    update_retention();
    changed = true;
    schema::apply_config_reply reply;
    reply.set_accepted(true);
    reply.set_config_revision(revision_);
    return reply;
}

void config_table::update_retention()
{
    retention_ms_ = default_claim_retention_ms;
    max_claims_ = default_max_claims;
    std::uint64_t latest = 0;
    for (const auto& [name, entry] : by_name_)
    {
        if (entry.declaration().has_retention() && entry.config_revision() > latest)
        {
            latest = entry.config_revision();
            retention_ms_ = entry.declaration().retention().claim_retention_ms();
            max_claims_ = entry.declaration().retention().max_claims();
        }
    }
    retention_ms_ = std::max(retention_ms_, min_claim_retention_ms);
}

void config_table::fill_view(schema::cluster_view& view, std::uint64_t known_revision) const
{
    view.set_config_revision(revision_);
    view.set_config_complete(known_revision == 0);
    for (auto it = by_revision_.upper_bound(known_revision); it != by_revision_.end(); ++it)
    {
        *view.add_config() = by_name_.at(it->second);
    }
}

void config_table::save(schema::ledger_snapshot& snapshot) const
{
    fill_view(*snapshot.mutable_view(), 0);
}

void config_table::load(const schema::ledger_snapshot& snapshot)
{
    by_name_.clear();
    by_revision_.clear();
    revision_ = snapshot.view().config_revision();
    for (const auto& entry : snapshot.view().config())
    {
        by_name_[entry.declaration().name()] = entry;
        by_revision_[entry.config_revision()] = entry.declaration().name();
    }
    update_retention();
}

std::uint64_t config_table::hash() const
{
    std::uint64_t hash = revision_;
    for (const auto& [name, entry] : by_name_)
    {
        hash = base::stable_hash(entry.SerializeAsString(), hash);
    }
    return hash;
}

} // namespace savoryreach::keeper
