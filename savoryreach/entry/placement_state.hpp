#ifndef SAVORYREACH_ENTRY_PLACEMENT_STATE_HPP
#define SAVORYREACH_ENTRY_PLACEMENT_STATE_HPP

#include "savoryreach/entry/endpoint_health.hpp"
#include "savoryreach/entry/kind_estimates.hpp"
#include "savoryreach/entry/placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// The state of placement: endpoints, kinds and data centres by index.
struct placement::state
{
    using id = std::uint32_t;

    /// Totals of one kind as an agent last reported them.
    struct counters
    {
        std::uint64_t succeeded = 0;
        absl::Duration run_total;
    };

    struct endpoint
    {
        base::node_name agent;
        std::uint32_t data_centre = 0;
        std::uint32_t slots = 0;
        std::uint32_t credit = 0;
        std::uint32_t in_flight = 0;    ///< attempts of this entry
        bool present = false;           ///< joined and not left
        bool counted_set_aside = false; ///< counted as set aside in the totals of the kinds
        bool accepts_all = false;       ///< every kind, also kinds not known yet
        std::vector<bool> accepts;      ///< by kind index, where accepts_all is false
        std::vector<counters> reported; ///< by kind index
    };

    /// Endpoints that accept a kind; kind index 0 stands for the kinds not known yet.
    struct kind
    {
        std::string name;
        kind_estimates estimates;
        std::uint32_t endpoints = 0; ///< endpoints that accept the kind
        std::uint32_t set_aside = 0; ///< those that are set aside
        std::uint32_t usable_slots = 0;
    };

    std::vector<endpoint> endpoints;
    std::vector<kind> kinds;
    std::vector<absl::Duration> delays; ///< one way, by data centre index
    absl::flat_hash_map<base::node_name, id> endpoint_index;
    absl::flat_hash_map<std::string, std::uint32_t> kind_index;
    absl::flat_hash_map<std::string, std::uint32_t> data_centre_index;
    endpoint_health health;
    std::uint32_t present_endpoints = 0; ///< joined and not left
    std::uint32_t max_set_aside = 30;    ///< percent
    std::uint32_t starts_since_probe = 0;
    absl::Time latest_time; ///< latest time of any call; update_counters() gets none
    id last_aged = 0;       ///< endpoint whose estimates were aged last

    state();

    std::uint32_t find_or_add_kind(const std::string& name);
    /// The known kind of that name, else index 0.
    [[nodiscard]] std::uint32_t find_kind(const std::string& name) const;
    std::uint32_t find_or_add_data_centre(const std::string& name);
    /// The endpoint of a present agent.
    [[nodiscard]] std::optional<id> find(const base::node_name& agent) const;
    [[nodiscard]] bool accepts(const endpoint& e, std::uint32_t kind) const;

    /// Adds (or with -1 removes) a present endpoint to the totals of a kind.
    void count(id endpoint, std::uint32_t kind, int sign);
    void count_all(id endpoint, int sign);
    /// Updates the rankings after a change of credit, load or health of an endpoint.
    void rerank(id endpoint, std::uint32_t kind);
    void rerank_all(id endpoint);
    /// Expected wait and run time at the endpoint, as a multiple of the run time.
    [[nodiscard]] double load_factor(id endpoint) const;

    [[nodiscard]] bool may_set_aside(id endpoint) const;
    /// Updates totals and rankings after a change of the health of an endpoint.
    void apply_health(id endpoint);
    /// Readmits endpoints while more than max_set_aside percent are set aside.
    void limit_set_aside();

    std::optional<id> find_probe(const placement_request& request, std::uint32_t kind,
                                 absl::Time now);
    std::optional<id> find_best(const placement_request& request, std::uint32_t kind) const;
    [[nodiscard]] double delay_to(const placement_request& request,
                                  std::uint32_t data_centre) const;
    void start_attempt(id endpoint, std::uint32_t kind);
    void age_next_endpoint(absl::Time now);
};

} // namespace savoryreach::entry

#endif
