#include "savoryreach/agent/view_store.hpp"

#include <algorithm>

namespace savoryreach::agent
{

void view_store::apply(const schema::cluster_view& view)
{
    for (const auto epoch : view.fenced_epochs())
    {
        fenced_.insert(epoch);
    }
    if (view.membership_revision() > membership_revision_)
    {
        membership_revision_ = view.membership_revision();
        entries_.assign(view.entries().begin(), view.entries().end());
    }
    apply_config(view);
}

void view_store::apply_config(const schema::cluster_view& view)
{
    if (view.config_revision() <= config_revision_)
    {
        return;
    }
    config_revision_ = view.config_revision();
    if (view.config_complete())
    {
        config_.clear();
    }
    for (const auto& entry : view.config())
    {
        auto& stored = config_[entry.declaration().name()];
        if (entry.config_revision() >= stored.config_revision())
        {
            stored = entry;
        }
    }
}

bool view_store::fence(std::uint64_t epoch)
{
    return fenced_.insert(epoch).second;
}

bool view_store::has_entry(const std::string& name) const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [&name](const auto& entry) { return entry.name() == name; });
}

} // namespace savoryreach::agent
