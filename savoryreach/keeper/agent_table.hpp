#ifndef SAVORYREACH_KEEPER_AGENT_TABLE_HPP
#define SAVORYREACH_KEEPER_AGENT_TABLE_HPP

#include "savoryreach/keeper/epoch_table.hpp"
#include "schema/generated/ledger.pb.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::keeper
{

/// The registered and ended agent incarnations of the ledger.
class agent_table
{
public:
    /// Returns the incarnation of the process: the existing one if the process is known, else a new
    /// one with the number \p index, which ends an earlier incarnation of the same name.
    std::uint64_t register_agent(const schema::register_agent& agent, std::uint64_t index,
                                 std::int64_t now_ms);
    /// Ends a registered incarnation; false when it was not registered.
    bool end_incarnation(const std::string& name, std::uint64_t incarnation, std::int64_t now_ms);

    [[nodiscard]] bool is_registered(const std::string& name, std::uint64_t incarnation) const;
    /// Name and incarnation of every registered agent, by name.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> registered() const;
    [[nodiscard]] std::size_t registered_count() const { return registered_count_; }
    /// Every incarnation that was registered at some time within [\p from_ms, \p to_ms].
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>>
    registered_between(std::int64_t from_ms, std::int64_t to_ms) const;

    /// Removes incarnations that ended more than \p retention_ms ago and that no recorded epoch's
    /// fence information includes.
    void prune(std::int64_t now_ms, std::int64_t retention_ms, const epoch_table& epochs);

    void save(schema::ledger_snapshot& snapshot) const;
    void load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    absl::btree_map<std::string, std::vector<schema::agent_record>>
        records_;                      ///< by name; ascending incarnations
    std::size_t registered_count_ = 0; ///< records that have not ended
};

} // namespace savoryreach::keeper

#endif
