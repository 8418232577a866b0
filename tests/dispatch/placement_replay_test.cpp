// Replays of load on virtual time. Each compares look-ahead placement, which applies to services
// whose endpoints do not guard their capacity, with the order by objectives of guarded ones.

#include "tests/dispatch/fleet_world.hpp"

#include <absl/strings/str_format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>

namespace savoryreach::dispatch
{
namespace
{

constexpr double begin_s = 3.0; ///< of the load
constexpr double end_s = 15.0;
constexpr int seeds = 3;
constexpr std::size_t hosts = 10;
const std::vector<double> uneven_speeds = {0.6, 1.0, 1.6};
const std::vector<std::string> paths = {"/hold/", "/long/", "/short/", "/wide/"};

/// Shares of the jobs that were completed within their objective.
struct shares
{
    double all = 0.0;
    double worst_window = 1.0; ///< of 2 s
    double worst_kind = 1.0;
    std::map<std::string, double> by_path;
    double bound = 0.0; ///< share of the offered work for which there was room
};

struct scenario
{
    std::vector<job_kind> kinds;
    std::vector<job_kind> burst; ///< from 5 to 9 s
    bool loses_host = false;     ///< the fastest of ten endpoints is cut off from 6 to 10 s
};

double share_of(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

double offered_rate(const std::vector<job_kind>& kinds)
{
    double sum = 0.0;
    for (const auto& it : kinds)
    {
        sum += it.per_s * it.width * it.declared_ms * it.cpu_milli / 1e6;
    }
    return sum;
}

shares replay(const scenario& load, const fleet_settings& settings)
{
    shares out;
    std::map<std::string, std::pair<std::size_t, std::size_t>> counts; // in time, sent
    std::vector<std::pair<std::size_t, std::size_t>> windows(static_cast<std::size_t>(end_s));
    for (int seed = 1; seed <= seeds; ++seed)
    {
        fleet_world world(hosts, static_cast<std::uint64_t>(seed), uneven_speeds, settings);
        world.run(absl::Seconds(begin_s));
        world.load(load.kinds, absl::Seconds(end_s - begin_s));
        world.run(absl::Seconds(2));
        world.load(load.burst, absl::Seconds(4));
        world.run(absl::Seconds(1));
        world.cut(2, load.loses_host);
        world.run(absl::Seconds(4));
        world.cut(2, false);
        world.run(absl::Seconds(10));
        for (const auto& it : world.monitor().violations())
        {
            ADD_FAILURE() << it;
        }
        for (const auto& [id, it] : world.jobs())
        {
            const bool in_time = it.answer == schema::answer_completed &&
                                 it.answered_at <= it.sent_at + it.objective;
            const auto window = static_cast<std::size_t>(
                absl::ToDoubleSeconds(it.sent_at - world.began_at()) / 2.0);
            for (auto* each : {&counts[it.path], &counts["all"], &windows.at(window)})
            {
                each->first += in_time ? 1 : 0;
                ++each->second;
            }
        }
    }
    for (const auto& [path, it] : counts)
    {
        out.by_path[path] = share_of(it.first, it.second);
        out.worst_kind = std::min(out.worst_kind, out.by_path[path]);
    }
    out.all = out.by_path["all"];
    for (const auto& it : windows)
    {
        out.worst_window = std::min(out.worst_window, share_of(it.first, it.second));
    }
    constexpr double rate = 64.0 * (4 * 0.6 + 3 * 1.0 + 3 * 1.6) / 1.046;
    constexpr double lost_rate = 64.0 * 1.6 / 1.046;
    const double length = end_s - begin_s;
    const double usual = offered_rate(load.kinds);
    const double with_burst = usual + offered_rate(load.burst);
    const double room = rate - (load.loses_host ? lost_rate : 0.0);
    out.bound = (std::min(with_burst, room) * 4.0 + std::min(usual, rate) * (length - 4.0)) /
                (with_burst * 4.0 + usual * (length - 4.0));
    return out;
}

void print(const std::string& name, const std::string& decision, const shares& it)
{
    std::cout << absl::StrFormat("| %s | %s | %.3f | %.3f | %.3f | %.3f |", name, decision, it.all,
                                 it.worst_window, it.worst_kind, it.bound);
    for (const auto& [path, share] : it.by_path)
    {
        std::cout << absl::StrFormat(" %s %.3f", path, share);
    }
    std::cout << "\n";
}

class placement_replay : public ::testing::Test
{
protected:
    void run(const std::string& name, const scenario& load)
    {
        before_ = replay(load, {true, 60});
        after_ = replay(load, {false, 60});
        print(name, "by objective", before_);
        print(name, "look-ahead", after_);
        // With the same large target for all kinds, the order of objectives is that of arrival.
        print(name, "first come", replay(load, {true, 20'000}));
    }

    shares before_;
    shares after_;
};

std::vector<job_kind> usual_load(double scale)
{
    return {{"/hold/", 8, 60, 34.0 * scale},
            {"/long/", 4, 900, 6.0 * scale},
            {"/short/", 2, 200, 95.0 * scale}};
}

// Load pattern: tasks of 40 of 64 cores beside a stream of tasks of 6 cores that keeps the gaps
// below 40 cores.
TEST_F(placement_replay, wide_tasks_behind_narrow_ones_are_served)
{
    auto kinds = usual_load(1.0);
    kinds.push_back({"/wide/", 1, 200, 8.0, 40'000});
    run("wide tasks behind narrow ones", {kinds, {{"/short/", 2, 200, 60.0}}});
    EXPECT_GE(after_.by_path["/wide/"], before_.by_path["/wide/"] + 0.1);
    EXPECT_GE(after_.all, before_.all - 0.02);
}

// Load pattern: a burst of jobs of 0.9 s beside short ones.
TEST_F(placement_replay, burst_of_long_jobs_beside_short_ones_loses_nothing)
{
    run("burst of long jobs", {usual_load(1.0), {{"/long/", 4, 900, 18.0}}});
    EXPECT_GE(after_.by_path["/long/"], before_.by_path["/long/"] - 0.02);
    EXPECT_GE(after_.all, before_.all - 0.02);
}

// Load pattern: jobs of 32 tasks behind many of two.
TEST_F(placement_replay, jobs_of_many_tasks_behind_small_ones_lose_nothing)
{
    auto kinds = usual_load(0.9);
    kinds.push_back({"/wide/", 32, 400, 1.0});
    run("jobs of 32 tasks", {kinds, {{"/short/", 2, 200, 90.0}}});
    EXPECT_GE(after_.by_path["/wide/"], before_.by_path["/wide/"]);
    EXPECT_GE(after_.all, before_.all - 0.02);
}

// Load pattern: a tenth of the endpoints, with a seventh of the rate, is lost under load.
TEST_F(placement_replay, loss_of_a_tenth_of_the_endpoints_costs_no_more)
{
    run("loss of a tenth", {usual_load(1.3), {}, true});
    EXPECT_GE(after_.all, before_.all - 0.02);
    EXPECT_GE(after_.worst_kind, before_.worst_kind - 0.02);
}

} // namespace
} // namespace savoryreach::dispatch
