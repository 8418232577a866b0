#ifndef SAVORYREACH_AGENT_VIEW_STORE_HPP
#define SAVORYREACH_AGENT_VIEW_STORE_HPP

#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::agent
{

/// An agent's view of the cluster: the live entries, the fenced epochs and the configuration. Views
/// may arrive late, repeatedly or out of order; no part reverts to a lower revision.
class view_store
{
public:
    void apply(const schema::cluster_view& view);

    /// Marks \p epoch as fenced permanently. Returns false when it already was.
    bool fence(std::uint64_t epoch);
    [[nodiscard]] bool is_fenced(std::uint64_t epoch) const { return fenced_.contains(epoch); }

    [[nodiscard]] const std::vector<schema::entry_member>& entries() const { return entries_; }
    [[nodiscard]] bool has_entry(const std::string& name) const;
    [[nodiscard]] std::uint64_t config_revision() const { return config_revision_; }
    /// The revision of entries().
    [[nodiscard]] std::uint64_t membership_revision() const { return membership_revision_; }

private:
    void apply_config(const schema::cluster_view& view);

    std::uint64_t membership_revision_ = 0;
    std::vector<schema::entry_member> entries_;                 ///< live entries
    absl::btree_set<std::uint64_t> fenced_;                     ///< fenced epochs, never removed
    std::uint64_t config_revision_ = 0;                         ///< revision of config_ as a whole
    absl::btree_map<std::string, schema::config_entry> config_; ///< by declaration name
};

} // namespace savoryreach::agent

#endif
