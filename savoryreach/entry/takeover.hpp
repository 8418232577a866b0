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

/// A start that an agent has recorded for a dead epoch.
struct start_record
{
    agent_instance agent;
    schema::started_task start;
};

/// The inquiry about one dead epoch: asks the keepers which agents may have started its tasks, and
/// each of those agents what it has started. Not thread-safe.
class takeover
{
public:
    takeover(entry_context& context, keeper_client& keepers, std::uint64_t dead_epoch,
             std::uint64_t own_epoch);

    /// Takes an agent's records; false when the reply belongs to another takeover.
    bool receive(const base::node_name& from, const schema::inquiry_reply& reply);
    void tick();

    /// True when each agent has answered or is unresolved.
    [[nodiscard]] bool is_accounted() const;
    [[nodiscard]] bool has_unresolved() const;
    /// When this process learned that the epoch is fenced; InfiniteFuture before.
    [[nodiscard]] absl::Time fenced_at() const { return fenced_at_; }
    /// True when \p agent has been silent for longer than a running task may be left alone.
    [[nodiscard]] bool is_gone(const agent_instance& agent) const;
    /// The recorded starts of a submission.
    [[nodiscard]] const std::vector<start_record>& records_of(const std::string& id) const;

    static constexpr absl::Duration inquiry_deadline = absl::Seconds(5);
    static constexpr absl::Duration resend_interval = absl::Milliseconds(300);
    /// Interval at which an agent with running tasks is asked again, in case its report was lost.
    static constexpr absl::Duration watch_interval = absl::Seconds(1);
    /// An agent with running tasks that is silent for the inquiry deadline and the 3 s stop time.
    static constexpr absl::Duration watch_deadline = absl::Seconds(8);

private:
    struct agent_case
    {
        bool has_answered = false;
        bool is_unresolved = false; ///< not reachable in time or replaced by a newer incarnation
        bool is_replaced = false;   ///< a newer incarnation has answered
        bool is_watched = false;    ///< it has running tasks of the epoch
        absl::Time send_at;
        absl::Time heard_at;
    };

    void ask_keepers();
    void start_inquiries(const schema::fence_info_reply& reply, absl::Time now);
    void send_inquiry(const agent_instance& agent);
    void store(const agent_instance& agent, const schema::inquiry_reply& reply);
    void check_finished();

    entry_context& context_;                             ///< ports
    keeper_client& keepers_;                             ///< for fence_info
    const std::uint64_t dead_epoch_;                     ///< that is asked about
    const std::uint64_t own_epoch_;                      ///< of the asker
    const std::uint64_t request_id_;                     ///< of the inquiries
    absl::Time ask_at_;                                  ///< next question to the keepers
    bool is_asked_ = false;                              ///< a question to the keepers is in flight
    bool is_reported_ = false;                           ///< takeover_finished was recorded
    absl::Time fenced_at_ = absl::InfiniteFuture();      ///< when the fence was learned
    absl::btree_map<agent_instance, agent_case> agents_; ///< all that may have started tasks
    absl::flat_hash_map<std::string, std::vector<start_record>> records_; ///< by submission id
};

} // namespace savoryreach::entry

#endif
