#ifndef SAVORYREACH_PERFORMANCE_TEST_CLUSTER_HPP
#define SAVORYREACH_PERFORMANCE_TEST_CLUSTER_HPP

#include "performance_test/capacity/world.hpp"
#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "tests/simulation/fake_disk.hpp"

#include <absl/container/btree_map.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::capacity
{

/// Settings that all processes of a probe share.
schema::common_settings common_settings(const std::string& name);

/// The service beside an agent: every task takes the same time and returns its payload.
class timed_endpoint final : public agent::endpoint_port
{
public:
    timed_endpoint(const base::clock& clock, world_node& node, absl::Duration run_time)
        : clock_(clock), node_(node), run_time_(run_time)
    {
    }

    void run(const agent::run_request& request) override;
    void stop(std::uint64_t) override {}
    /// Reports the runs that have ended.
    void end_due(agent::agent_core& core);

private:
    const base::clock& clock_;
    world_node& node_;
    absl::Duration run_time_;
    absl::btree_multimap<absl::Time, std::pair<std::uint64_t, std::string>> runs_; ///< by end
};

/// Calls a function for each answer that is not `running`.
class answer_counter final : public entry::caller_port
{
public:
    void answer(std::uint64_t request_id, const schema::job_answer& answer) override;

    std::function<void()> on_complete = [] {
    }; ///< called after a complete answer
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::string last_reason; ///< of the latest failure
};

/// Size of a simulated cluster with one keeper.
struct cluster_size
{
    std::size_t entries = 1;
    std::size_t agents = 1;
    std::uint32_t slots = 8;
    absl::Duration run_time = absl::Milliseconds(100);
};

/// One keeper, entries and agents: the real cores on virtual time.
class cluster
{
public:
    explicit cluster(const cluster_size& size);

    /// Runs until all agents have a session with all entries.
    void settle();
    /// Keeps \p jobs jobs of \p tasks tasks open at each entry from now on.
    void load(std::size_t jobs, std::uint32_t tasks);
    /// Declares \p count team quotas whose names begin with \p prefix.
    void declare(std::size_t count, const std::string& prefix);
    /// Sum over the nodes whose name begins with \p role.
    [[nodiscard]] usage used(const std::string& role) const;
    /// Sum of a member of all entries' status.
    [[nodiscard]] std::uint64_t starts() const;
    [[nodiscard]] std::uint64_t completed() const;
    [[nodiscard]] bool agents_have(std::uint64_t config_revision) const;
    [[nodiscard]] bool entries_have(std::uint64_t config_revision) const;

    world run; ///< time and network

private:
    struct keeper_process
    {
        std::unique_ptr<simulation::fake_disk> disk;
        std::unique_ptr<keeper::keeper_core> core;
    };
    struct entry_process
    {
        world_node* node;
        std::unique_ptr<answer_counter> callers;
        std::unique_ptr<entry::entry_core> core;
    };
    struct agent_process
    {
        world_node* node;
        std::unique_ptr<timed_endpoint> endpoint;
        std::unique_ptr<agent::agent_core> core;
    };

    void add_keeper();
    void add_entry(std::size_t number);
    void add_agent(std::size_t number);
    void submit(entry_process& to, std::uint32_t tasks);

    cluster_size size_;
    base::seeded_random random_{1};
    observe::null_event_sink events_;
    keeper_process keeper_;
    std::vector<std::unique_ptr<entry_process>> entries_;
    std::vector<std::unique_ptr<agent_process>> agents_;
    std::vector<const world_node*> nodes_;
    std::uint64_t last_job_ = 0;
    std::uint64_t last_request_ = 0;
};

} // namespace savoryreach::capacity

#endif
