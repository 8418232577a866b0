#ifndef SAVORYREACH_KEEPER_LEASE_TABLE_HPP
#define SAVORYREACH_KEEPER_LEASE_TABLE_HPP

#include "savoryreach/keeper/ledger.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::keeper
{

/// Leases of entries and agents: soft state of the leader, not replicated. Deadlines count from the
/// receipt of a renewal. The holder counts from its sending, which is never later, so its lease
/// ends first.
class lease_table
{
public:
    /// Removes all leases, for a new term.
    void clear();
    /// Grants every live entry and registered agent of \p state a full lease. Called when this
    /// keeper can serve again, because it may have missed renewals before.
    void renew_all(const ledger& state, absl::Time now);

    /// Extends an entry's lease; false when its expiry is already proposed.
    bool renew_entry(std::uint64_t epoch, absl::Time now);
    /// Stores the revisions that an entry reports with its renewal.
    void record_report(const schema::renew_entry& renewal);
    void renew_agent(const std::string& name, std::uint64_t incarnation, absl::Time now);

    /// The live entries whose lease has expired since the last call; each is returned once.
    std::vector<std::uint64_t> expired_entries(const ledger& state, absl::Time now);
    /// The registered agents whose lease has expired since the last call; each is returned once.
    std::vector<std::pair<std::string, std::uint64_t>> expired_agents(const ledger& state,
                                                                      absl::Time now);

    /// The latest renewal of \p epoch; default values before the first one.
    [[nodiscard]] const schema::renew_entry& last_renewal(std::uint64_t epoch) const;

private:
    struct entry_lease
    {
        absl::Time deadline = absl::InfinitePast();
        bool expiring = false; ///< expire_entry is in the log; the lease can't be renewed
        schema::renew_entry last_renewal;
    };

    struct agent_lease
    {
        std::uint64_t incarnation = 0;
        absl::Time deadline = absl::InfinitePast();
        bool expiring = false;
    };

    absl::btree_map<std::uint64_t, entry_lease> entries_; ///< by epoch
    absl::btree_map<std::string, agent_lease> agents_;    ///< by name
};

} // namespace savoryreach::keeper

#endif
