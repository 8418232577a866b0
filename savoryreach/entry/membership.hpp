#ifndef SAVORYREACH_ENTRY_MEMBERSHIP_HPP
#define SAVORYREACH_ENTRY_MEMBERSHIP_HPP

#include "savoryreach/entry/keeper_client.hpp"
#include "savoryreach/entry/router.hpp"

#include <absl/container/btree_map.h>
#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// This entry's membership in the cluster: its epoch and lease, the view of the other entries, and
/// the configuration. View and configuration never go back to an older revision. Joins again with a
/// new nonce when its epoch is fenced. Not thread-safe.
class membership
{
public:
    struct hooks
    {
        std::function<void()> joined;       ///< a new epoch has begun
        std::function<void()> fenced;       ///< the epoch must not start tasks any more
        std::function<void()> lease_lost;   ///< the lease has expired; a renewal may still succeed
        std::function<void()> view_changed; ///< the set of members has changed
        std::function<void(const schema::declaration&)> config_changed;
    };

    /// Progress of the configuration at the agents, reported with each renewal.
    struct agent_progress
    {
        std::uint64_t slowest_revision = 0;
        std::uint32_t lagging = 0;
    };

    membership(entry_context& context, keeper_client& keepers, hooks handlers);

    /// Calls \p agents only when a renewal is due, because it visits every agent.
    void tick(absl::FunctionRef<agent_progress()> agents);
    /// Applies a view pushed by a keeper.
    void receive_pushed_view(const schema::cluster_view& view);
    /// Handles a keeper's report that this epoch is fenced.
    void epoch_fenced();

    /// Leaves the cluster. The caller guarantees that no task of the epoch is running.
    void leave();
    [[nodiscard]] bool has_left() const { return phase_ == phase::left; }
    [[nodiscard]] bool is_leaving() const { return phase_ == phase::leaving; }

    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] bool has_lease() const;
    [[nodiscard]] absl::Time lease_until() const { return lease_until_; }
    [[nodiscard]] std::vector<route_member> members() const;
    [[nodiscard]] bool is_live(const base::node_name& entry) const;
    /// True when other epochs existed at the time of the join.
    [[nodiscard]] bool has_predecessors() const { return has_predecessors_; }
    [[nodiscard]] std::uint64_t config_revision() const { return config_revision_; }
    [[nodiscard]] std::uint64_t membership_revision() const { return membership_revision_; }

    /// The view to send to an agent that has revision \p agent_revision of the configuration.
    [[nodiscard]] schema::cluster_view view_for(std::uint64_t agent_revision,
                                                bool with_members) const;

    /// Two successive renewals may be lost before the lease of 3 s ends.
    static constexpr absl::Duration renew_interval = absl::Seconds(1);

private:
    enum class phase
    {
        joining,
        live,
        leaving,
        left,
    };

    void join();
    void renew(const agent_progress& agents);
    void joined(const schema::join_reply& reply, absl::Time sent_at);
    void renewed(const schema::renew_reply& reply, absl::Time sent_at);
    void apply(const schema::cluster_view& view, bool starts_at_own_revision);
    void apply_members(const schema::cluster_view& view);
    void apply_config(const schema::cluster_view& view, bool starts_at_own_revision);
    void reset_to_joining();

    entry_context& context_;       ///< settings and interfaces to the environment
    keeper_client& keepers_;       ///< sends the requests to the keepers
    hooks hooks_;                  ///< notified of changes
    phase phase_ = phase::joining; ///< state of the membership
    std::uint64_t nonce_;          ///< identifies this join to the keepers
    std::uint64_t epoch_ = 0;      ///< 0 before the join
    std::uint64_t request_ = 0;    ///< id of the join, renewal or leave in flight, or 0
    absl::Time lease_until_ = absl::InfinitePast(); ///< by this process's clock
    absl::Time renew_at_ = absl::InfinitePast();    ///< next renewal
    bool must_report_lease_loss_ = false;   ///< the end of the current lease has not been reported
    bool has_predecessors_ = false;         ///< other epochs existed at the join
    std::uint64_t membership_revision_ = 0; ///< revision of entries_
    std::vector<schema::entry_member> entries_; ///< live entries
    std::vector<std::uint64_t> fenced_;         ///< fenced epochs listed in the view
    std::uint64_t config_revision_ = 0;         ///< revision of config_
    absl::btree_map<std::string, schema::config_entry> config_; ///< by declaration name
};

} // namespace savoryreach::entry

#endif
