#ifndef SAVORYREACH_KEEPER_KEEPER_SERVICE_HPP
#define SAVORYREACH_KEEPER_KEEPER_SERVICE_HPP

#include "savoryreach/keeper/claim_batcher.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "savoryreach/keeper/lease_table.hpp"
#include "savoryreach/keeper/ledger.hpp"
#include "savoryreach/keeper/replicated_log.hpp"
#include "savoryreach/keeper/request_key.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <vector>

namespace savoryreach::keeper
{

/// Handles keeper requests: proposes commands, applies them to the ledger, replies to their
/// requesters, and maintains the leader's soft state.
class keeper_service final : public state_machine
{
public:
    keeper_service(const schema::keeper_settings& settings, stored_state&& stored,
                   const keeper_ports& ports);

    void receive(const base::node_name& from, const schema::envelope& message);
    void tick();
    void persisted(std::uint64_t ticket);
    void storage_failed(const std::string& reason);
    void begin_drain();
    [[nodiscard]] bool is_drained() const;
    [[nodiscard]] bool is_ready() const { return !draining_ && log_.has_live_leader(); }
    [[nodiscard]] keeper_status status() const;
    [[nodiscard]] std::uint64_t state_hash() const { return ledger_.hash(); }

    void apply(const schema::log_entry& entry) override;
    void save(schema::ledger_snapshot& snapshot) const override { ledger_.save(snapshot); }
    bool load(const schema::ledger_snapshot& snapshot) override { return ledger_.load(snapshot); }

private:
    void on_request(const base::node_name& from, const schema::keeper_request& request);
    void on_proposal(const request_key& key, const schema::keeper_request& request);
    void on_claims(const request_key& key, const schema::claim_batch& batch);
    void on_config(const request_key& key, const schema::apply_config& apply);
    void on_change_keepers(const request_key& key, const schema::change_keepers& change);
    [[nodiscard]] schema::keeper_reply handle_renew_entry(const schema::renew_entry& renewal,
                                                          bool& should_reply);
    [[nodiscard]] schema::keeper_reply handle_renew_agent(const schema::renew_agent& renewal);
    [[nodiscard]] schema::keeper_reply
    handle_view_request(const schema::view_request& request) const;

    void update_leadership();
    std::uint64_t propose(schema::command command);
    void propose_for(const request_key& key, schema::command command);
    void propose_claims();
    void expire_leases();
    void push_views();

    void reply(const request_key& key, schema::keeper_reply reply);
    void reply_not_leader(const request_key& key);
    void send_pending_replies(const schema::log_entry& entry, const apply_result& result);
    [[nodiscard]] schema::keeper_reply make_reply(const schema::command& command,
                                                  const apply_result& result);
    [[nodiscard]] schema::keeper_reply make_join_reply(std::uint64_t epoch);
    void reply_to_claims(const std::vector<std::pair<request_key, int>>& requests,
                         const schema::claim_reply& results);

    const keeper_ports ports_;
    std::string self_;
    ledger ledger_;
    replicated_log log_;
    lease_table leases_;
    claim_batcher batcher_;
    absl::btree_map<std::uint64_t, std::vector<std::pair<request_key, int>>>
        pending_replies_;                      ///< requests by log index, with claim counts
    absl::btree_set<request_key> in_progress_; ///< requests that have no reply yet
    std::uint64_t leading_term_ = 0;         ///< term in which this keeper leads; 0: not the leader
    std::int64_t last_proposal_time_ms_ = 0; ///< proposal time of the latest command
    bool leases_need_renewal_ = true;        ///< this keeper could not serve at the last tick
    bool view_push_due_ = false;             ///< the view changed since the last push
    bool draining_ = false;
    absl::Time drain_deadline_ =
        absl::InfiniteFuture(); ///< when a drain ends without another leader
    absl::Time next_expiry_scan_at_ = absl::InfinitePast(); ///< next scan for expired leases
};

} // namespace savoryreach::keeper

#endif
