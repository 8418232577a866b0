#ifndef SAVORYREACH_KEEPER_LEDGER_HPP
#define SAVORYREACH_KEEPER_LEDGER_HPP

#include "savoryreach/keeper/agent_table.hpp"
#include "savoryreach/keeper/claim_table.hpp"
#include "savoryreach/keeper/config_table.hpp"
#include "savoryreach/keeper/epoch_table.hpp"
#include "schema/generated/ledger.pb.h"
#include "schema/generated/wire.pb.h"

#include <cstdint>

namespace savoryreach::keeper
{

/// Result of one applied command, for the replies to its requesters.
struct apply_result
{
    std::uint64_t assigned_id = 0; ///< epoch for join_entry, incarnation for register_agent
    schema::claim_reply claims;
    schema::apply_config_reply config;
    bool view_changed = false; ///< membership or configuration changed
};

/// The replicated state of the keepers: entry epochs, agents, claims and configuration. Every
/// keeper applies the same commands in the same order with the same results; the only clock is the
/// proposal time in the commands.
class ledger
{
public:
    apply_result apply(std::uint64_t index, const schema::command& command);

    [[nodiscard]] const epoch_table& epochs() const { return epochs_; }
    [[nodiscard]] const agent_table& agents() const { return agents_; }
    [[nodiscard]] const config_table& config() const { return config_; }
    [[nodiscard]] std::size_t claim_count() const { return claims_.size(); }
    [[nodiscard]] std::int64_t last_proposed_at_ms() const { return last_proposed_at_ms_; }

    /// The changes since the given revisions.
    [[nodiscard]] schema::cluster_view view_since(std::uint64_t membership_revision,
                                                  std::uint64_t config_revision) const;
    /// Membership and fenced epochs without configuration, for agents.
    [[nodiscard]] schema::cluster_view membership_view() const;
    /// Whether \p epoch is fenced, and every agent that may have started tasks for it.
    [[nodiscard]] schema::fence_info_reply fence_info(std::uint64_t epoch) const;

    void save(schema::ledger_snapshot& snapshot) const;
    /// Replaces the whole state. False when the snapshot is malformed.
    bool load(const schema::ledger_snapshot& snapshot);
    [[nodiscard]] std::uint64_t hash() const;

private:
    void advance_time(std::int64_t proposed_at_ms);
    void apply_claims(const schema::claim_batch& batch, schema::claim_reply& reply);
    void apply_finishes(const schema::finish_batch& batch);
    [[nodiscard]] std::uint32_t claim_expiry_minute() const;

    epoch_table epochs_;
    agent_table agents_;
    claim_table claims_;
    config_table config_;
    std::uint64_t membership_revision_ = 0; ///< log index of the last membership change
    std::int64_t last_proposed_at_ms_ = 0;  ///< clock of the state; never decreases
};

} // namespace savoryreach::keeper

#endif
