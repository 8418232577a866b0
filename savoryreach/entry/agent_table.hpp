#ifndef SAVORYREACH_ENTRY_AGENT_TABLE_HPP
#define SAVORYREACH_ENTRY_AGENT_TABLE_HPP

#include "savoryreach/entry/agent_link.hpp"
#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/placement.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace savoryreach::entry
{

/// The agents that have announced themselves: grants session leases, carries the sessions, and
/// notices by deadlines when an agent is suspected or lost. Not thread-safe.
class agent_table
{
public:
    struct hooks
    {
        std::function<void(agent_link&, const schema::session_item&)> item;
        /// Nothing that was sent to the agent can start or still run.
        std::function<void(agent_link&)> lost;
        /// Waiting tasks that \p kinds (empty: all) could run.
        std::function<std::uint32_t(const std::vector<std::string>& kinds)> demand;
    };

    agent_table(entry_context& context, membership& members, placement& endpoints, hooks call);

    /// Drops all agents, as the epoch that their sessions belong to is over.
    void clear();

    void hello(const base::node_name& from, const schema::agent_hello& message);
    void frame(const base::node_name& from, const schema::session_frame& frame);

    /// Notices suspicion and loss.
    void tick();
    /// Reports demand and sends what the sessions have queued.
    void flush();

    void push(agent_link& link, schema::session_item item);
    /// Queues an item that the agent can wait for; it rides with another frame.
    void push_later(agent_link& link, schema::session_item item);
    /// Tells the placement how many starts \p link may still be sent.
    void update_credit(agent_link& link);

    /// Tells the placement how an attempt at \p link has ended.
    void attempt_ended(const agent_link& link, const job& it, attempt_result how,
                       absl::Duration run_time);

    /// The current incarnation of the agent; null when it never announced itself.
    [[nodiscard]] agent_link* find(const base::node_name& agent);
    [[nodiscard]] agent_link* find(const agent_life& life);
    /// True when some agent, reachable or not, accepts \p kind.
    [[nodiscard]] bool accepts(const std::string& kind) const;
    [[nodiscard]] std::size_t live_agents() const;
    [[nodiscard]] membership::agent_progress progress() const;
    void for_each(const std::function<void(agent_link&)>& visit);
    void for_each(const std::function<void(const agent_link&)>& visit) const;

    static constexpr absl::Duration session_lease = absl::Seconds(2);
    /// Two lost heartbeats of 500 ms.
    static constexpr absl::Duration suspicion = absl::Milliseconds(1100);
    /// An agent stops what still runs 3 s after its session lease has expired; the rest is for its
    /// tick and for the endpoint to end a run whose connection is closed.
    static constexpr absl::Duration stop_time = absl::Milliseconds(3500);
    /// Bound on the agents that are remembered, three times the design size.
    static constexpr std::size_t max_agents = 12'288;

private:
    [[nodiscard]] bool accept_incarnation(const base::node_name& from,
                                          const schema::agent_hello& message);
    void supersede(agent_link& link);
    void learn(agent_link& link, const schema::agent_hello& message);
    void reply(agent_link& link, const schema::agent_hello& message);
    void set_phase(agent_link& link, link_phase phase);
    void check(agent_link& link, absl::Time now);
    void report_demand(agent_link& link, absl::Time now);
    void send_frames(agent_link& link, absl::Time now);

    /// Sessions without new items are polled for resends at this interval.
    static constexpr absl::Duration poll_interval = absl::Milliseconds(5);
    /// Agents are checked for silence at this interval, far below the suspicion time: a visit of
    /// thousands of agents after each message would cost more than the messages.
    static constexpr absl::Duration check_interval = absl::Milliseconds(50);
    static constexpr absl::Duration demand_interval = absl::Milliseconds(20);
    /// Releases and reports that demand is over leave within this time.
    static constexpr absl::Duration unhurried = absl::Milliseconds(200);
    /// Members are repeated in every so many replies, in case the last ones were lost.
    static constexpr std::uint32_t members_every = 8;

    entry_context& context_; ///< ports
    membership& members_;    ///< lease, epoch and view
    placement& endpoints_;   ///< told about endpoints and credit
    hooks call_;             ///< receives items and losses
    absl::btree_map<agent_life, std::unique_ptr<agent_link>> links_; ///< all incarnations
    absl::btree_map<base::node_name, agent_link*> current_;          ///< newest incarnations
    absl::btree_set<agent_life> dirty_;          ///< sessions with new items or owed replies
    absl::Time poll_at_ = absl::InfinitePast();  ///< next poll of all sessions
    absl::Time check_at_ = absl::InfinitePast(); ///< next check for silent agents
};

} // namespace savoryreach::entry

#endif
