#ifndef SAVORYREACH_ENTRY_AGENT_LINK_HPP
#define SAVORYREACH_ENTRY_AGENT_LINK_HPP

#include "savoryreach/entry/job.hpp"
#include "savoryreach/entry/placement.hpp"
#include "savoryreach/net/session.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>

namespace savoryreach::entry
{

/// Whether an agent can be given work.
enum class link_phase
{
    live,
    suspected, ///< silent for two heartbeats; gets no new starts
    lost,      ///< session lease and stop time have expired: no task sent to it still runs
};

/// State of one incarnation of an agent at this entry: its session, credit and tasks.
class agent_link
{
public:
    agent_link(agent_instance agent_identity, std::uint64_t epoch, std::uint64_t link_number)
        : agent(std::move(agent_identity)), number(link_number), session(epoch, agent.incarnation)
    {
    }

    /// Starts that may still be sent.
    [[nodiscard]] std::uint32_t credit() const
    {
        const bool is_usable = phase == link_phase::live && !is_draining && !is_superseded;
        return is_usable && credit_limit > sent ? static_cast<std::uint32_t>(credit_limit - sent)
                                                : 0;
    }

    /// True when messages from the agent arrive, but messages to it are not acknowledged.
    [[nodiscard]] bool is_stalled(absl::Time now) const
    {
        return session.unacknowledged() > 0 && acknowledged_at + max_unacknowledged <= now;
    }

    /// A session resends several times within this time; equal to the session lease.
    static constexpr absl::Duration max_unacknowledged = absl::Seconds(2);

    /// Identifies a task at the agent by its job and index.
    using task_key = std::pair<job_number, std::uint32_t>;

    const agent_instance agent; ///< name and incarnation

    const std::uint64_t number;     ///< in the order in which the incarnations announced themselves
    net::session session;           ///< kept as long as the incarnation may reconnect
    endpoint_properties properties; ///< as last announced
    link_phase phase = link_phase::live;
    bool is_draining = false;          ///< announced by the agent
    bool is_superseded = false;        ///< a newer incarnation has announced itself
    std::uint64_t credit_limit = 0;    ///< starts allowed since the session began
    std::uint64_t sent = 0;            ///< starts sent since the session began
    absl::Time last_message_at;        ///< not updated while is_stalled()
    absl::Time acknowledged_at;        ///< when the session last had nothing overdue
    absl::Time lease_until;            ///< latest end of any session lease granted
    std::uint64_t config_revision = 0; ///< as last announced
    std::uint64_t members_sent = 0;    ///< membership revision in the last reply
    std::uint32_t replies = 0;         ///< since members were last sent
    std::uint32_t reported_demand = 0; ///< waiting tasks last reported to the agent
    absl::Time demand_reported_at = absl::InfinitePast(); ///< last report outside of a hello reply
    bool is_dirty = false;                                ///< has something to send
    absl::Time wake_at = absl::InfiniteFuture();          ///< timer of the agent table
    absl::Time recall_at = absl::InfiniteFuture();        ///< timer of the dispatcher
    std::uint32_t indexed_demand = 0;                     ///< key in demand_report_index
    bool indexed_without_credit = false; ///< in without_credit_ of demand_report_index
    bool indexed_with_demand = false;    ///< in with_demand_ of demand_report_index
    absl::btree_map<task_key, std::uint32_t> in_flight; ///< attempt numbers
};

} // namespace savoryreach::entry

#endif
