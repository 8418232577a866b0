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

/// What the placement knows about an endpoint when its agent announces it.
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
    absl::Duration declared_run;              ///< zero when unknown; may be wrong by far
    std::string locality;                     ///< preferred data centre; empty means none
    std::uint32_t waiting_tasks = 0;          ///< tasks of the job that wait, this one included
    std::vector<base::node_name> failed_here; ///< endpoints where an earlier attempt failed
};

/// How one attempt ended, for learning.
enum class attempt_result
{
    succeeded,
    failed,
    not_started, ///< says nothing about the endpoint
};

/// Chooses the endpoint of each start by expected completion time. Learns the run time of each
/// (kind, endpoint) with decay and the standing of each endpoint: an endpoint that fails tasks of
/// several different jobs is set aside and readmitted by single probes; never more than the given
/// share of the fleet is set aside. Not thread-safe.
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
    /// Starts that may still be sent to \p agent; 0 stops new starts there.
    void set_credit(const base::node_name& agent, std::uint32_t credit);
    /// Totals over all entries, as the agent reports them.
    void learn_counters(const base::node_name& agent, const std::string& kind,
                        std::uint64_t succeeded, std::uint64_t failed, absl::Duration run_total);

    /// True when some endpoint that is not set aside has credit for \p kind.
    [[nodiscard]] bool is_runnable(const std::string& kind) const;
    /// True when some endpoint other than \p agent is usable in this way.
    [[nodiscard]] bool is_runnable_elsewhere(const std::string& kind,
                                             const base::node_name& agent) const;
    /// False when no known endpoint, with or without credit, accepts \p kind.
    [[nodiscard]] bool can_ever_run(const std::string& kind) const;

    /// The endpoint for one start; takes one credit of it. nullopt when waiting for a fast endpoint
    /// is expected to finish earlier than any endpoint with credit, or when there is none.
    std::optional<base::node_name> choose(const placement_request& request, absl::Time now);

    /// The attempt that choose() placed on \p agent has ended. \p job separates a failing job from
    /// a failing endpoint.
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
    std::unique_ptr<state> state_; ///< endpoints, estimates and standing
};

} // namespace savoryreach::entry

#endif
