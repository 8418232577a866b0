#ifndef SAVORYREACH_SIMULATION_FAULT_PLAN_HPP
#define SAVORYREACH_SIMULATION_FAULT_PLAN_HPP

#include "tests/simulation/simulated_callers.hpp"
#include "tests/simulation/simulated_cluster.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace savoryreach::simulation
{

/// Injects faults of all sorts at random times, several at once.
class fault_plan
{
public:
    fault_plan(simulated_cluster& cluster, simulated_callers& callers);

    void start();
    /// Injects nothing more, heals the network and the disks and starts what does not run.
    void heal();
    /// Number of faults by sort.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& faults() const { return faults_; }

private:
    void schedule();
    void inject();
    void disturb_network();
    void cut_link();
    void partition();
    void isolate(const std::string& node);
    void isolate_leader();
    void restart(const std::string& node);
    void kill(const std::string& node);
    void drain(const std::string& node);
    void await_drain(const std::string& node);
    void fail_sync();
    void slow_disk();
    void fail_endpoint();
    void kill_all_keepers();
    /// Runs \p undo after \p delay unless heal() came first.
    void later(absl::Duration delay, std::function<void()> undo);
    void note(std::string_view sort, const std::string& what);
    [[nodiscard]] absl::Duration draw_duration();
    const std::string& draw(const std::vector<std::string>& from);

    simulated_cluster& cluster_;
    simulated_callers& callers_;
    bool is_active_ = false;
    std::uint64_t phase_ = 0; ///< rises with start() and heal()
    std::map<std::string, std::uint64_t> faults_;
};

} // namespace savoryreach::simulation

#endif
