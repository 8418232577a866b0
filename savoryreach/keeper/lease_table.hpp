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

/// Leases of entries and agents: soft state of the leader. Deadlines count from the receipt of a
/// renewal, which is never earlier than its sending, from which the holder counts.
class lease_table
{
public:
    /// Forgets everything, for a new term.
    void clear();
    /// Gives every live entry and registered agent of \p state a full lease, because renewals may
    /// have been lost while this keeper could not serve.
    void extend_all(const ledger& state, absl::Time now);

    /// Extends an entry's lease; false when its expiry is on the way already.
    bool renew_entry(std::uint64_t epoch, absl::Time now);
    /// Remembers what an entry reports with its renewal.
    void note_entry(const schema::renew_entry& renewal);
    void renew_agent(const std::string& name, std::uint64_t incarnation, absl::Time now);

    /// The live entries whose lease has ended since the last call; each is returned once.
    std::vector<std::uint64_t> expired_entries(const ledger& state, absl::Time now);
    /// The registered agents whose registration has ended since the last call.
    std::vector<std::pair<std::string, std::uint64_t>> expired_agents(const ledger& state,
                                                                      absl::Time now);

    /// The latest renewal of \p epoch; default values before the first one.
    [[nodiscard]] const schema::renew_entry& reported(std::uint64_t epoch) const;

private:
    struct entry_lease
    {
        absl::Time deadline = absl::InfinitePast();
        bool expiring = false; ///< its expire_entry is in the log; it gets no lease any more
        schema::renew_entry reported;
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
