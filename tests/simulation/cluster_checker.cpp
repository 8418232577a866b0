#include "tests/simulation/cluster_checker.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>

#include <iterator>

namespace savoryreach::simulation
{

void cluster_checker::keeper(const std::string& name, const keeper::keeper_core& core)
{
    const auto status = core.status();
    if (status.role == "leader")
    {
        const auto [known, fresh] = leader_of_term_.emplace(status.term, name);
        if (known->second != name)
        {
            journal_.fail("one_leader", absl::StrCat(name, " and ", known->second, " lead in term ",
                                                     status.term));
        }
        serving_ += core.is_ready() ? 1 : 0;
    }
    auto& checked = applied_[name];
    if (status.applied_index < checked)
    {
        journal_.fail("log", absl::StrCat(name, " applied index goes backwards"));
    }
    if (status.applied_index != checked)
    {
        checked = status.applied_index;
        const auto hash = core.state_hash();
        const auto [known, fresh] = hash_at_.emplace(status.applied_index, hash);
        if (known->second != hash)
        {
            journal_.fail("log", absl::StrCat(name, " differs from another keeper at index ",
                                              status.applied_index));
        }
    }
}

void cluster_checker::end_round() const
{
    if (serving_ > 1)
    {
        journal_.fail("one_leader", "two leaders hold a lease");
    }
}

void cluster_checker::revision(const std::string& node, std::uint64_t life, std::uint64_t revision)
{
    auto& known = revisions_[node];
    if (known.first == life && revision < known.second)
    {
        journal_.fail("config_revision", absl::StrCat(node, " reverts from revision ", known.second,
                                                      " to ", revision));
    }
    known = {life, revision};
}

void cluster_checker::view(const schema::cluster_view& view)
{
    for (const auto& it : view.config())
    {
        declared(it.config_revision(), it.declaration());
    }
}

void cluster_checker::accepted(const schema::declaration& declaration, std::uint64_t revision)
{
    declared(revision, declaration);
}

void cluster_checker::declared(std::uint64_t revision, const schema::declaration& declaration)
{
    const accepted_version version{declaration.version(),
                                   base::stable_hash(declaration.SerializeAsString())};
    const auto [known, fresh] =
        by_revision_.emplace(revision, std::pair(declaration.name(), version));
    if (known->second != std::pair(declaration.name(), version))
    {
        journal_.fail("config_content",
                      absl::StrCat("revision ", revision, " is ", known->second.first, " and ",
                                   declaration.name(), " or has two contents"));
    }
    if (!fresh)
    {
        return;
    }
    auto& versions = by_name_[declaration.name()];
    const auto it = versions.emplace(revision, version).first;
    const bool is_above = it == versions.begin() || std::prev(it)->second.version < version.version;
    const bool is_below =
        std::next(it) == versions.end() || version.version < std::next(it)->second.version;
    if (!is_above || !is_below)
    {
        journal_.fail("config_content",
                      absl::StrCat(declaration.name(), " version ", version.version,
                                   " at revision ", revision, " is out of order or changed"));
    }
}

} // namespace savoryreach::simulation
