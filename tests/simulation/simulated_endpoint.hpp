#ifndef SAVORYREACH_SIMULATION_SIMULATED_ENDPOINT_HPP
#define SAVORYREACH_SIMULATION_SIMULATED_ENDPOINT_HPP

#include "savoryreach/agent/endpoint_port.hpp"
#include "savoryreach/base/random_source.hpp"
#include "tests/simulation/breakage.hpp"
#include "tests/simulation/invariant_checker.hpp"
#include "tests/simulation/timer_queue.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace savoryreach::simulation
{

/// What all endpoints of a run share.
struct endpoint_context
{
    base::random_source& random;
    timer_queue& timers;
    invariant_checker& checker;
    breakage broken = breakage::none;
};

/// The service of one endpoint host during one life of its agent process. Ends of runs reach the
/// agent through the handler.
class simulated_endpoint final : public agent::endpoint_port
{
public:
    using end_handler = std::function<void(std::uint64_t, const agent::run_outcome&)>;

    simulated_endpoint(const endpoint_context& context, std::string agent, absl::Duration mean_run)
        : context_(context), agent_(std::move(agent)), mean_run_(mean_run)
    {
    }

    void on_end(end_handler handler) { handler_ = std::move(handler); }

    void run(const agent::run_request& request) override;
    void stop(std::uint64_t run_id) override;

    /// While set, every run fails.
    void set_failing(bool is_failing) { is_failing_ = is_failing; }
    /// The agent process is gone: its connections are closed, which ends all runs.
    void close();

private:
    struct current_run
    {
        std::string payload;
        std::uint32_t repeats = 0; ///< further runs of a broken endpoint
    };

    void schedule_end(std::uint64_t run_id, absl::Duration delay);
    void end(std::uint64_t run_id, const agent::run_outcome& outcome);
    [[nodiscard]] agent::run_outcome draw_outcome(const std::string& payload);

    endpoint_context context_;
    std::string agent_;
    absl::Duration mean_run_;
    end_handler handler_;
    bool is_failing_ = false;
    absl::btree_map<std::uint64_t, current_run> runs_;
};

} // namespace savoryreach::simulation

#endif
