#ifndef SAVORYREACH_ENTRY_PLACEMENT_HPP
#define SAVORYREACH_ENTRY_PLACEMENT_HPP

#include "savoryreach/base/node_name.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Properties of an endpoint, as its agent announces them.
struct endpoint_properties
{
    base::node_name agent;
    std::string data_centre;
    std::uint32_t slots = 0;
    std::vector<std::string> kinds; ///< empty means all
};

/// One start to be placed.
struct placement_request
{
    std::string kind;
    absl::Duration declared_run;                ///< zero when unknown; may be far off
    std::string locality;                       ///< preferred data centre; empty means none
    std::uint32_t waiting_tasks = 0;            ///< tasks of the job that wait, this one included
    std::vector<base::node_name> failed_agents; ///< endpoints where an earlier attempt failed
};

/// Result of one attempt.
enum class attempt_result
{
    succeeded,
    failed,
    not_started, ///< has no effect on the endpoint's health
};

/// Chooses the endpoint of each start by expected completion time. Keeps a decaying mean of the run
/// time for each kind and endpoint. An endpoint that fails tasks of several different jobs is set
/// aside: it gets single probes only, until one succeeds. The fraction of the fleet that is set
/// aside is bounded. Not thread-safe.
class placement
{
public:
    placement();
    ~placement();
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;

    void apply(const schema::endpoint_policy& policy);
    /// One-way delay from this entry to \p data_centre.
    void set_one_way_delay(const std::string& data_centre, absl::Duration delay);

    void endpoint_joined(const endpoint_properties& properties);
    void endpoint_left(const base::node_name& agent);
    /// Sets the number of starts that may still be sent to \p agent; 0 stops new starts there.
    void set_credit(const base::node_name& agent, std::uint32_t credit);
    /// Adds the run times since the last report of the agent. The arguments are the agent's totals
    /// over all entries.
    void update_counters(const base::node_name& agent, const std::string& kind,
                         std::uint64_t succeeded, std::uint64_t failed, absl::Duration run_total);

    /// True when some endpoint that is not set aside has credit for \p kind.
    [[nodiscard]] bool is_runnable(const std::string& kind) const;
    /// True when is_runnable() holds without the endpoint of \p agent.
    [[nodiscard]] bool is_runnable_elsewhere(const std::string& kind,
                                             const base::node_name& agent) const;
    /// False when no known endpoint, with or without credit, accepts \p kind.
    [[nodiscard]] bool can_ever_run(const std::string& kind) const;

    /// Returns the endpoint for one start and uses one of its credits. Returns nullopt when no
    /// endpoint has credit, or when waiting for a fast endpoint is expected to end the task earlier
    /// than a start on any endpoint with credit.
    std::optional<base::node_name> choose(const placement_request& request, absl::Time now);

    /// Records the end of an attempt that choose() placed on \p agent. \p job distinguishes a
    /// failing job from a failing endpoint.
    void attempt_ended(const base::node_name& agent, const std::string& kind, std::uint64_t job,
                       attempt_result result, absl::Duration run_time, absl::Time now);

    /// Expected run time of one task of \p kind over the fleet.
    [[nodiscard]] absl::Duration expected_run(const std::string& kind,
                                              absl::Duration declared) const;
    /// Expected run time of \p kind at one endpoint.
    [[nodiscard]] absl::Duration expected_run_at(const base::node_name& agent,
                                                 const std::string& kind) const;
    /// Slots of all endpoints that accept \p kind and are not set aside.
    [[nodiscard]] std::uint32_t usable_slots(const std::string& kind) const;
    [[nodiscard]] bool is_set_aside(const base::node_name& agent) const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< endpoints, estimates and health
};

} // namespace savoryreach::entry

#endif
