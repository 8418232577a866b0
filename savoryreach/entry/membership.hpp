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

/// This entry's place in the cluster: its epoch and lease, the view of the other entries, and the
/// configuration, neither of which ever reverts. Joins anew with another nonce when its epoch is
/// fenced. Not thread-safe.
class membership
{
public:
    struct hooks
    {
        std::function<void()> joined;       ///< a new epoch has begun
        std::function<void()> fenced;       ///< the epoch can start nothing more
        std::function<void()> lease_lost;   ///< the lease has expired; it may come back
        std::function<void()> view_changed; ///< the members differ
        std::function<void(const schema::declaration&)> config_changed;
    };

    /// Progress of the configuration at the agents, reported with each renewal.
    struct agent_progress
    {
        std::uint64_t slowest_revision = 0;
        std::uint32_t lagging = 0;
    };

    membership(entry_context& context, keeper_client& keepers, hooks call);

    /// \p agents tells the progress when it is reported.
    void tick(absl::FunctionRef<agent_progress()> agents);
    /// Takes a view that a keeper pushed.
    void pushed(const schema::cluster_view& view);
    /// A keeper has said that this epoch is fenced.
    void epoch_fenced();

    /// Leaves the cluster; the caller guarantees that nothing of the epoch runs.
    void leave();
    [[nodiscard]] bool has_left() const { return phase_ == phase::left; }
    [[nodiscard]] bool is_leaving() const { return phase_ == phase::leaving; }

    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] bool has_lease() const;
    [[nodiscard]] absl::Time lease_until() const { return lease_until_; }
    [[nodiscard]] std::vector<route_member> members() const;
    [[nodiscard]] bool is_live(const base::node_name& entry) const;
    /// True when other epochs existed when this one joined.
    [[nodiscard]] bool has_predecessors() const { return has_predecessors_; }
    [[nodiscard]] std::uint64_t config_revision() const { return config_revision_; }
    [[nodiscard]] std::uint64_t membership_revision() const { return membership_revision_; }

    /// The view to hand to an agent that has \p agent_revision of the configuration.
    [[nodiscard]] schema::cluster_view view_for(std::uint64_t agent_revision,
                                                bool with_members) const;

    /// A renewal is lost at most twice before the 3 s lease ends.
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
    void apply(const schema::cluster_view& view, bool is_from_own_revision);
    void apply_members(const schema::cluster_view& view);
    void apply_config(const schema::cluster_view& view, bool is_from_own_revision);
    void start_over();

    entry_context& context_;                        ///< settings and ports
    keeper_client& keepers_;                        ///< carries the requests
    hooks call_;                                    ///< told about changes
    phase phase_ = phase::joining;                  ///< place in the cluster
    std::uint64_t nonce_;                           ///< identifies this life to the keepers
    std::uint64_t epoch_ = 0;                       ///< 0 while not joined
    std::uint64_t request_ = 0;                     ///< join, renewal or leave in flight, or 0
    absl::Time lease_until_ = absl::InfinitePast(); ///< on this process's clock
    absl::Time renew_at_ = absl::InfinitePast();    ///< next renewal
    bool is_lease_reported_ = false;                ///< lease_lost is due when the lease ends
    bool has_predecessors_ = false;                 ///< of the current epoch
    std::uint64_t membership_revision_ = 0;         ///< of entries_
    std::vector<schema::entry_member> entries_;     ///< live entries
    std::vector<std::uint64_t> fenced_;             ///< epochs that may still matter
    std::uint64_t config_revision_ = 0;             ///< of config_
    absl::btree_map<std::string, schema::config_entry> config_; ///< by declaration name
};

} // namespace savoryreach::entry

#endif
