#ifndef SAVORYREACH_ENTRY_TAKEOVER_HPP
#define SAVORYREACH_ENTRY_TAKEOVER_HPP

#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/job.hpp"
#include "savoryreach/entry/keeper_client.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// A task start that an agent has recorded for a fenced epoch.
struct start_record
{
    agent_instance agent;
    schema::started_task start;
};

/// Collects the task starts of one fenced epoch: asks the keepers which agents may have started its
/// tasks, and each of these agents for its records. Not thread-safe.
class takeover
{
public:
    takeover(entry_context& context, keeper_client& keepers, std::uint64_t dead_epoch,
             std::uint64_t own_epoch);

    /// Stores an agent's records. False when the reply belongs to another takeover.
    bool receive(const base::node_name& from, const schema::inquiry_reply& reply);
    void tick();

    /// True when each agent has answered, has missed its deadline or was replaced.
    [[nodiscard]] bool is_inquiry_complete() const;
    [[nodiscard]] bool has_unresolved() const;
    /// Time at which this process learned that the epoch is fenced; InfiniteFuture before that.
    [[nodiscard]] absl::Time fenced_at() const { return fenced_at_; }
    /// True when \p agent has not answered for watch_deadline, so that its running tasks count as
    /// lost.
    [[nodiscard]] bool is_unresponsive(const agent_instance& agent) const;
    /// The recorded starts of a submission.
    [[nodiscard]] const std::vector<start_record>& records_of(const std::string& id) const;

    static constexpr absl::Duration inquiry_deadline = absl::Seconds(5);
    static constexpr absl::Duration resend_interval = absl::Milliseconds(300);
    /// Interval at which an agent with running tasks is asked again, in case its report of their
    /// end was lost.
    static constexpr absl::Duration watch_interval = absl::Seconds(1);
    /// Time after which an agent with running tasks counts as lost when it does not answer: the
    /// inquiry deadline plus the stop time of 3 s.
    static constexpr absl::Duration watch_deadline = absl::Seconds(8);

private:
    struct agent_inquiry
    {
        bool has_answered = false;
        bool is_unresolved = false; ///< no answer by the deadline, or replaced
        bool is_replaced = false;   ///< a newer incarnation has answered
        bool is_watched = false;    ///< it has running tasks of the epoch
        absl::Time send_at;
        absl::Time last_reply_at;
    };

    void query_keepers();
    void start_inquiries(const schema::fence_info_reply& reply, absl::Time now);
    void send_inquiry(const agent_instance& agent);
    void store_starts(const agent_instance& agent, const schema::inquiry_reply& reply);
    void report_if_finished();

    entry_context& context_;                        ///< interfaces to the environment
    keeper_client& keepers_;                        ///< for fence_info requests
    const std::uint64_t dead_epoch_;                ///< epoch whose starts are collected
    const std::uint64_t own_epoch_;                 ///< epoch of this entry
    const std::uint64_t request_id_;                ///< of the inquiries
    absl::Time query_at_;                           ///< next request to the keepers
    bool is_query_in_flight_ = false;               ///< a request to the keepers is in flight
    bool is_reported_ = false;                      ///< takeover_finished was recorded
    absl::Time fenced_at_ = absl::InfiniteFuture(); ///< when this process learned of the fence
    absl::btree_map<agent_instance, agent_inquiry> agents_; ///< may have started tasks
    absl::flat_hash_map<std::string, std::vector<start_record>> records_; ///< by submission id
};

} // namespace savoryreach::entry

#endif
