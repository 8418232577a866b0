#include "savoryreach/config/effective_config.hpp"

#include <algorithm>
#include <vector>

namespace savoryreach::config
{

effective_config effective_config::with(const schema::cluster_view& view) const
{
    if (view.config_revision() <= revision_)
    {
        return *this;
    }
    effective_config next;
    if (!view.config_complete())
    {
        next.entries_ = entries_;
    }
    for (const schema::config_entry& it : view.config())
    {
        schema::config_entry& entry = next.entries_[it.declaration().name()];
        if (it.config_revision() >= entry.config_revision())
        {
            entry = it;
        }
    }
    next.revision_ = view.config_revision();
    next.rebuild();
    return next;
}

void effective_config::rebuild()
{
    std::vector<const schema::config_entry*> ordered;
    ordered.reserve(entries_.size());
    for (const auto& [name, entry] : entries_)
    {
        ordered.push_back(&entry);
    }
    std::ranges::stable_sort(ordered, {}, &schema::config_entry::config_revision);
    for (const schema::config_entry* it : ordered)
    {
        apply(it->declaration());
    }
}

void effective_config::apply(const schema::declaration& declaration)
{
    if (declaration.has_kind_policy())
    {
        const schema::kind_policy& it = declaration.kind_policy();
        kinds_[it.kind()] = {it.weight(), absl::Milliseconds(it.urgency_bound_ms()),
                             absl::Milliseconds(it.max_wait_ms())};
    }
    else if (declaration.has_team_quota())
    {
        const schema::team_quota& it = declaration.team_quota();
        teams_[it.team()] = {it.weight(), it.max_slots()};
    }
    else if (declaration.has_endpoint_policy())
    {
        const schema::endpoint_policy& it = declaration.endpoint_policy();
        endpoints_ = {it.retry_budget_percent(), it.max_set_aside_percent()};
    }
    else if (declaration.has_retention())
    {
        const schema::retention_policy& it = declaration.retention();
        retention_ = {absl::Milliseconds(it.answer_retention_ms()),
                      absl::Milliseconds(it.claim_retention_ms()), it.max_claims()};
    }
}

effective_config::kind_settings effective_config::kind(std::string_view name) const
{
    const auto it = kinds_.find(absl::string_view(name.data(), name.size()));
    return it == kinds_.end() ? kind_settings() : it->second;
}

effective_config::team_settings effective_config::team(std::string_view name) const
{
    const auto it = teams_.find(absl::string_view(name.data(), name.size()));
    return it == teams_.end() ? team_settings() : it->second;
}

} // namespace savoryreach::config
