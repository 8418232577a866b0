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

/// The agent incarnations of the ledger, registered and ended ones.
class agent_table
{
public:
    /// Gives the incarnation of the process: the one it has already when it is known, else
    /// \p index; an earlier incarnation of the same name ends.
    std::uint64_t register_agent(const schema::register_agent& agent, std::uint64_t index,
                                 std::int64_t now_ms);
    /// Ends a registered incarnation; false when it was not registered.
    bool end(const std::string& name, std::uint64_t incarnation, std::int64_t now_ms);

    [[nodiscard]] bool is_registered(const std::string& name, std::uint64_t incarnation) const;
    /// Name and incarnation of every registered agent, by name.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> registered() const;
    [[nodiscard]] std::size_t registered_count() const { return registered_count_; }
    /// Every incarnation that was registered at some time within [\p from_ms, \p to_ms].
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>>
    registered_between(std::int64_t from_ms, std::int64_t to_ms) const;

    /// Drops incarnations that ended longer ago than \p retention_ms and that no kept epoch's fence
    /// refers to.
    void prune(std::int64_t now_ms, std::int64_t retention_ms, const epoch_table& epochs);

    void save(schema::ledger_snapshot& snapshot) const;
    void load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    absl::btree_map<std::string, std::vector<schema::agent_record>>
        records_;                      ///< by name; ascending incarnations
    std::size_t registered_count_ = 0; ///< records without an end
};

} // namespace savoryreach::keeper

#endif
