#ifndef SAVORYREACH_KEEPER_CONFIG_TABLE_HPP
#define SAVORYREACH_KEEPER_CONFIG_TABLE_HPP

#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>

namespace savoryreach::keeper
{

/// The accepted declarations, the latest version of each name. A name is never removed, so the
/// entries after a revision are a complete delta from that revision, of any age.
class config_table
{
public:
    config_table() { update_retention(); }

    /// Compare-and-set on name, version and digest. Sets \p changed when the declaration is new.
    schema::apply_config_reply apply(const schema::declaration& declaration, bool& changed);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::int64_t retention_ms() const { return retention_ms_; }
    [[nodiscard]] std::uint64_t max_claims() const { return max_claims_; }

    /// Adds the entries that were changed after \p known_revision.
    void fill_view(schema::cluster_view& view, std::uint64_t known_revision) const;
    void save(schema::ledger_snapshot& snapshot) const;
    void load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    void update_retention();

    std::uint64_t revision_ = 0;                                 ///< of the latest change
    absl::btree_map<std::string, schema::config_entry> by_name_; ///< by declaration name
    absl::btree_map<std::uint64_t, std::string> by_revision_;    ///< names by their revision
    std::int64_t retention_ms_ = 0; ///< from the latest retention policy
    std::uint64_t max_claims_ = 0;  ///< from the latest retention policy
};

} // namespace savoryreach::keeper

#endif
