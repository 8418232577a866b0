#ifndef SAVORYREACH_SIMULATION_SIMULATED_CLUSTER_HPP
#define SAVORYREACH_SIMULATION_SIMULATED_CLUSTER_HPP

#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "tests/simulation/cluster_checker.hpp"
#include "tests/simulation/fake_disk.hpp"
#include "tests/simulation/fake_network.hpp"
#include "tests/simulation/invariant_checker.hpp"
#include "tests/simulation/lying_disk.hpp"
#include "tests/simulation/simulated_endpoint.hpp"
#include "tests/simulation/tampering.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::simulation
{

/// Three keepers, three entries and six agents with their endpoints, on virtual time.
class simulated_cluster
{
public:
    using answer_handler = std::function<void(const std::string& entry, std::uint64_t request_id,
                                              const schema::job_answer& answer)>;

    simulated_cluster(std::uint64_t seed, breakage broken);
    ~simulated_cluster();
    simulated_cluster(const simulated_cluster&) = delete;
    simulated_cluster& operator=(const simulated_cluster&) = delete;

    virtual_clock& clock() { return clock_; }
    fake_network& network() { return network_; }
    timer_queue& timers() { return timers_; }
    run_journal& journal() { return journal_; }
    invariant_checker& checker() { return checker_; }
    cluster_checker& ledger_checker() { return ledger_checker_; }
    base::random_source& random() { return random_; }
    [[nodiscard]] breakage broken() const { return broken_; }

    void on_answer(answer_handler handler) { answer_handler_ = std::move(handler); }
    /// Moves to the next time at which something happens.
    void step();

    [[nodiscard]] const std::vector<std::string>& keepers() const { return keeper_names_; }
    [[nodiscard]] const std::vector<std::string>& entries() const { return entry_names_; }
    [[nodiscard]] const std::vector<std::string>& agents() const { return agent_names_; }
    [[nodiscard]] std::vector<std::string> processes() const;

    [[nodiscard]] bool is_alive(const std::string& node) const;
    void kill(const std::string& node);
    /// Starts a new process if none runs.
    void start(const std::string& node);
    void drain(const std::string& node);
    [[nodiscard]] bool is_draining(const std::string& node) const;
    [[nodiscard]] bool is_drained(const std::string& node) const;
    void set_failing(const std::string& agent, bool is_failing);
    fake_disk& disk(const std::string& keeper) { return *keepers_.at(keeper).disk; }
    /// From now on the keeper's clock stands still.
    void stop_clock(const std::string& keeper) { keepers_.at(keeper).clock->stop(); }
    /// Empty when there is none.
    [[nodiscard]] std::string leader() const;
    /// An entry or agent that is not ready or works with a config revision below \p revision; empty
    /// when there is none.
    [[nodiscard]] std::string lagging(std::uint64_t revision) const;

    /// nullptr while no process runs.
    entry::entry_core* entry(const std::string& name);

private:
    struct keeper_process
    {
        std::unique_ptr<fake_disk> disk;
        std::unique_ptr<lying_disk> liar;
        std::unique_ptr<base::seeded_random> random;
        std::unique_ptr<stoppable_clock> clock;
        std::unique_ptr<net::transport> transport;
        std::unique_ptr<journal_sink> events;
        std::unique_ptr<keeper::keeper_core> core;
        bool is_failure_reported = false;
        std::uint64_t life = 0;
        std::size_t entries = 0; ///< live in the ledger
    };

    class answer_port;

    struct entry_process
    {
        std::unique_ptr<base::seeded_random> random;
        std::unique_ptr<net::transport> transport;
        std::unique_ptr<journal_sink> events;
        std::unique_ptr<answer_port> port;
        std::unique_ptr<entry::entry_core> core;
        std::uint64_t epoch = 0;
        std::uint64_t life = 0;
        bool is_draining = false;
    };

    struct agent_process
    {
        absl::Duration mean_run;
        std::uint32_t slots = 0;
        std::unique_ptr<base::seeded_random> random;
        std::unique_ptr<net::transport> transport;
        std::unique_ptr<journal_sink> events;
        std::unique_ptr<simulated_endpoint> endpoint;
        std::unique_ptr<agent::agent_core> core;
        std::uint64_t life = 0;
        bool is_draining = false;
    };

    [[nodiscard]] std::uint64_t new_life(std::uint64_t present);
    [[nodiscard]] std::uint64_t core_seed(const std::string& node) const;
    void fill(schema::common_settings& common, const std::string& name) const;
    void start_keeper(const std::string& name);
    void start_entry(const std::string& name);
    void start_agent(const std::string& name);
    /// Tells the checker when the ledger's live entries have changed.
    void note_fences(const std::string& keeper);
    void sync_disks();
    void tick_all();
    void check_all();
    template <typename Core>
    void attach(const std::string& name, Core* core);

    breakage broken_;
    std::uint64_t seed_;
    virtual_clock clock_;
    base::seeded_random network_random_;
    base::seeded_random random_; ///< for plan, callers and endpoints
    fake_network network_;
    timer_queue timers_;
    run_journal journal_;
    invariant_checker checker_;
    cluster_checker ledger_checker_;
    tampering tampering_;
    answer_handler answer_handler_;
    std::uint64_t lives_ = 0;
    std::vector<std::string> keeper_names_;
    std::vector<std::string> entry_names_;
    std::vector<std::string> agent_names_;
    std::map<std::string, keeper_process> keepers_;
    std::map<std::string, entry_process> entries_;
    std::map<std::string, agent_process> agents_;
    /// Services of ended agent processes; their timers may still be due.
    std::vector<std::unique_ptr<simulated_endpoint>> closed_endpoints_;
    absl::Time next_tick_;
};

} // namespace savoryreach::simulation

#endif
