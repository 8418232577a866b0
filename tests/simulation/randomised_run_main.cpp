#include "tests/simulation/randomised_run.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <iostream>

DEFINE_uint64(seed, 1, "Seed of the run");
DEFINE_uint64(seeds, 1, "Number of runs, with seeds from --seed on");
DEFINE_uint64(events, 50'000, "Events after which a run ends");
DEFINE_bool(verbose, false, "Print every event");
DEFINE_string(filter, "", "With --verbose: print only events whose line contains this text");
DEFINE_uint32(heap_offset_pages, 0, "Memory that is allocated first, which moves all addresses");
DEFINE_bool(twice, false, "Run each seed twice and compare the state hashes");
// NOLINTNEXTLINE(readability-identifier-naming)
DEFINE_string(
    expect, "",
    "With --break: the invariant that must be violated; seeds in which the fault violates "
    "another one first are passed over");
DEFINE_string(break, "", "Deliberate fault that the run must detect; see breakage.hpp");

namespace savoryreach::simulation
{
namespace
{

randomised_run* current_run = nullptr; ///< for the report after a failed assertion
std::uint64_t current_seed = 0;

void report_abort(int)
{
    std::cerr << "an assertion failed, seed=" << current_seed << ' '
              << current_run->journal().stamp() << '\n';
    current_run->journal().dump(std::cerr);
    std::_Exit(1);
}

/// True when the violation is the one that --expect names, or any when it names none.
bool is_expected(const std::string& what)
{
    return FLAGS_expect.empty() ||
           what.find("invariant=" + FLAGS_expect + " ") != std::string::npos;
}

bool run_seed(std::uint64_t seed, breakage broken, std::uint64_t& hash)
{
    randomised_run run(seed, broken);
    current_run = &run;
    current_seed = seed;
    if (FLAGS_verbose)
    {
        run.journal().print_to(std::cout, FLAGS_filter);
    }
    try
    {
        run.run(FLAGS_events);
    }
    catch (const violation& what)
    {
        if (!is_expected(what.what()))
        {
            std::cout << "seed=" << seed << " passed over: " << what.what() << '\n';
            return true;
        }
        run.journal().dump(std::cerr);
        std::cerr << "VIOLATION seed=" << seed << " events=" << FLAGS_events << ' ' << what.what()
                  << '\n';
        return false;
    }
    hash = run.hash();
    std::cout << "seed=" << seed << ' ';
    run.report(std::cout);
    return true;
}

int run_all(breakage broken)
{
    for (auto seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
    {
        std::uint64_t hash = 0;
        std::uint64_t again = 0;
        if (!run_seed(seed, broken, hash))
        {
            return 1;
        }
        if (FLAGS_twice && (!run_seed(seed, broken, again) || hash != again))
        {
            std::cerr << "VIOLATION seed=" << seed << " two runs differ\n";
            return 1;
        }
    }
    return 0;
}

} // namespace
} // namespace savoryreach::simulation

int main(int argc, char** argv)
{
    using namespace savoryreach::simulation;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr std::size_t page_bytes = 4096;
    const std::string heap_offset(FLAGS_heap_offset_pages * page_bytes + 1, '\0');
    std::signal(SIGABRT, report_abort);
    const auto broken =
        std::ranges::find(breakage_names, std::string_view(FLAGS_break), &breakage_name::name);
    if (broken == breakage_names.end())
    {
        std::cerr << "unknown --break " << FLAGS_break << '\n';
        return 2;
    }
    return run_all(broken->what);
}
