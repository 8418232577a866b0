#ifndef SAVORYREACH_ENTRY_AGENT_TABLE_HPP
#define SAVORYREACH_ENTRY_AGENT_TABLE_HPP

#include "savoryreach/entry/agent_link.hpp"
#include "savoryreach/entry/delay_table.hpp"
#include "savoryreach/entry/demand_report_index.hpp"
#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/link_timers.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/placement.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// The agents that have announced themselves. Grants session leases, runs the sessions, and detects
/// suspected and lost agents by timeouts. A tick processes only the agents with a due timer. Not
/// thread-safe.
class agent_table
{
public:
    struct hooks
    {
        std::function<void(agent_link&, const schema::session_item&)> item_received;
        /// Nothing that was sent to the agent can start or still run.
        std::function<void(agent_link&)> agent_lost;
        /// Number of waiting tasks of \p kinds, or of all kinds when \p kinds is empty.
        std::function<std::uint32_t(const std::vector<std::string>& kinds)> waiting_tasks;
    };

    agent_table(entry_context& context, membership& members, placement& endpoints, hooks callbacks);

    /// Removes all agents after the end of the epoch that their sessions belong to.
    void clear();

    void receive_hello(const base::node_name& from, const schema::agent_hello& message);
    void receive_frame(const base::node_name& from, const schema::session_frame& frame);

    /// Detects suspected and lost agents.
    void tick();
    /// Reports demand and sends what the sessions have queued.
    void flush();

    void push(agent_link& link, schema::session_item item);
    /// Queues an item that may wait for the next frame to the agent, at most release_delay.
    void push_later(agent_link& link, schema::session_item item);
    /// Counts a start that is pushed to \p link.
    void count_start(agent_link& link);
    /// Passes the remaining credit of \p link to the placement.
    void update_credit(agent_link& link);

    /// Passes the result of an attempt at \p link to the placement.
    void attempt_ended(const agent_link& link, const job& it, attempt_result result,
                       absl::Duration run_time);

    /// The current incarnation of the agent; null when it never announced itself.
    [[nodiscard]] agent_link* find(const base::node_name& agent);
    [[nodiscard]] agent_link* find(const agent_instance& life);
    /// True when some agent, reachable or not, accepts \p kind.
    [[nodiscard]] bool accepts(const std::string& kind) const;
    [[nodiscard]] std::size_t live_agents() const { return live_; }
    /// The dispatcher's timers for recalling tasks from a link.
    link_timers& recall_timers() { return recall_timers_; }
    [[nodiscard]] membership::agent_progress progress() const;
    void for_each(const std::function<void(const agent_link&)>& visit) const;

    static constexpr absl::Duration session_lease = absl::Seconds(2);
    /// An agent is suspected after two lost heartbeats of 500 ms.
    static constexpr absl::Duration suspect_after = absl::Milliseconds(1100);
    /// An agent stops its running tasks 3 s after its session lease has expired. The other 500 ms
    /// are for the agent's tick and for the endpoint to end a run whose connection is closed.
    static constexpr absl::Duration stop_time = absl::Milliseconds(3500);
    /// A release waits up to this time for the next frame to the agent, so most releases need no
    /// message of their own. The agent keeps its records of an ended job for this time longer.
    static constexpr absl::Duration release_delay = absl::Milliseconds(200);
    /// Bound on the agent incarnations in the table, three times the design size.
    static constexpr std::size_t max_agents = 12'288;

private:
    [[nodiscard]] bool accept_incarnation(const base::node_name& from,
                                          const schema::agent_hello& message);
    void supersede(agent_link& link);
    void erase(agent_link& link);
    void set_timer(agent_link& link);
    void mark_dirty(agent_link& link);
    void update_delay(const agent_link& link, absl::Duration round_trip);
    void count_kinds(const agent_link& link, int change);
    void update_properties(agent_link& link, const schema::agent_hello& message);
    void send_reply(agent_link& link, const schema::agent_hello& message);
    void set_phase(agent_link& link, link_phase phase);
    void check_deadlines(agent_link& link, absl::Time now);
    void report_demand(absl::Time now);
    void push_by(agent_link& link, schema::session_item item, absl::Time send_by);
    void report_demand(agent_link& link, absl::Time now);
    void send_frames(agent_link& link, absl::Time now);

    /// Interval between two checks of the demand, and between two reports to one agent.
    static constexpr absl::Duration demand_check_interval = absl::Milliseconds(5);
    static constexpr absl::Duration min_demand_report_interval = absl::Milliseconds(20);
    /// The members are repeated once in this many replies, in case earlier replies were lost.
    static constexpr std::uint32_t replies_per_members_repeat = 8;

    entry_context& context_; ///< ports
    membership& members_;    ///< lease, epoch and view
    placement& endpoints_;   ///< receives endpoints and credit
    hooks callbacks_;        ///< receives items and losses
    absl::btree_map<agent_instance, std::unique_ptr<agent_link>> links_; ///< all incarnations
    absl::btree_map<base::node_name, agent_link*> current_;              ///< newest incarnations
    std::vector<agent_link*> dirty_;                      ///< links with something to send
    link_timers wake_ups_{&agent_link::wake_at};          ///< session deadlines, suspicion and loss
    link_timers recall_timers_{&agent_link::recall_at};   ///< of the dispatcher
    demand_report_index demand_;                          ///< agents that may need a report
    absl::Time next_demand_check_ = absl::InfinitePast(); ///< no check of the demand before
    delay_table delays_;                                  ///< to the data centres
    std::uint64_t last_link_number_ = 0;                  ///< number of the newest link
    std::size_t live_ = 0;                                ///< current links in phase live
    std::size_t accept_all_ = 0;                          ///< current links that accept every kind
    absl::flat_hash_map<std::string, std::size_t> accepting_; ///< other current links, by kind
};

} // namespace savoryreach::entry

#endif
