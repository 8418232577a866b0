#ifndef SAVORYREACH_SIMULATION_RANDOMISED_RUN_HPP
#define SAVORYREACH_SIMULATION_RANDOMISED_RUN_HPP

#include "tests/simulation/fault_plan.hpp"
#include "tests/simulation/simulated_callers.hpp"
#include "tests/simulation/simulated_cluster.hpp"
#include "tests/simulation/simulated_operators.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace savoryreach::simulation
{

/// One seeded run: times of faults alternate with healthy times in which all must be answered.
class randomised_run
{
public:
    randomised_run(std::uint64_t seed, breakage broken);

    run_journal& journal() { return cluster_.journal(); }
    /// Runs until \p events have happened and the healthy time after them is over. Throws
    /// violation.
    void run(std::uint64_t events);
    /// Equal for equal seeds.
    [[nodiscard]] std::uint64_t hash() { return cluster_.journal().hash(); }
    void report(std::ostream& out);

private:
    void run_for(absl::Duration time);
    void faulty_time(std::uint64_t events);
    void healthy_time();
    void await_answers();
    void check_configuration();

    simulated_cluster cluster_;
    simulated_callers callers_;
    simulated_operators operators_;
    fault_plan faults_;
    absl::Time began_;
};

} // namespace savoryreach::simulation

#endif
