#ifndef SAVORYREACH_LOAD_VIRTUAL_CLUSTER_HPP
#define SAVORYREACH_LOAD_VIRTUAL_CLUSTER_HPP

#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "tests/simulation/fake_disk.hpp"
#include "tests/simulation/virtual_clock.hpp"
#include "tools/load/event_queue.hpp"
#include "tools/load/fleet.hpp"
#include "tools/load/outcome.hpp"
#include "tools/load/simulated_endpoint.hpp"
#include "tools/load/stage_trace.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::load
{

struct cluster_options
{
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::size_t keepers = 3;
    std::size_t data_centres = 3;
    absl::Duration delay_between = absl::Milliseconds(1);  ///< one way, between data centres
    absl::Duration delay_inside = absl::Microseconds(200); ///< one way, inside of one
    absl::Duration sync_time = absl::Milliseconds(3);      ///< of a keeper's disk
};

/// The unchanged entry, agent and keeper cores on virtual time, joined by a network of constant
/// delays, with simulated endpoints. Like in the daemons, a core ticks every 5 ms and after each
/// batch of events.
class virtual_cluster
{
public:
    using answer_handler =
        std::function<void(std::uint64_t request_id, const schema::job_answer& answer)>;

    virtual_cluster(const cluster_options& options, const fleet& endpoints,
                    answer_handler on_answer);
    ~virtual_cluster();
    virtual_cluster(const virtual_cluster&) = delete;
    virtual_cluster& operator=(const virtual_cluster&) = delete;

    /// Runs until all entries have a lease and sessions with all agents; false after 30 s.
    bool run_until_ready();
    /// Runs to the virtual time \p until.
    void run_until(absl::Time until);

    void submit(std::size_t entry, std::uint64_t request_id, const schema::submission& submission);
    void cancel(std::size_t entry, std::uint64_t request_id, const std::string& submission_id);

    [[nodiscard]] event_queue& events() { return events_; }
    [[nodiscard]] absl::Time now() const { return clock_.now(); }
    /// Forgets the counts so far.
    void reset_counts();
    /// Moves the counts into \p result.
    void collect(run_result& result) const;

private:
    class node_transport;
    class caller_answers;
    struct node;

    node& add_node(const std::string& name, std::size_t data_centre);
    void add_keepers(schema::common_settings common);
    void add_entries(const schema::common_settings& common);
    void add_agents(const schema::common_settings& common, const fleet& endpoints);
    void send(const node& from, const base::node_name& to, schema::envelope message);
    void count(const node& from, const base::node_name& to, const schema::envelope& message);
    void started(const agent::run_request& request);
    /// Runs everything that is due at the next time.
    void step(absl::Time limit);
    void finish_syncs();

    cluster_options options_;
    simulation::virtual_clock clock_;
    base::seeded_random random_;
    event_queue events_;
    stage_trace trace_;
    answer_handler on_answer_;
    std::vector<std::unique_ptr<node>> nodes_; ///< keepers, entries, agents
    absl::flat_hash_map<base::node_name, node*> by_name_;
    std::vector<node*> entries_;
    std::vector<node*> dirty_; ///< nodes with events since their last tick
    absl::Time tick_at_;
    message_counts messages_;
    std::map<std::string, std::uint64_t> session_frames_;
    std::uint64_t starts_ = 0;
    double work_started_ = 0; ///< seconds at speed 1
    std::uint64_t double_starts_ = 0;
    absl::flat_hash_map<std::string, std::uint32_t> started_; ///< starts by submission and task
    absl::flat_hash_set<std::string> once_; ///< submissions that are not idempotent
};

} // namespace savoryreach::load

#endif
