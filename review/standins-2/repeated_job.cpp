// Case: all processes of the core are killed at the same moment and are back within a second, and
// clients repeat their jobs while the next dispatcher is being elected. Rule TWICE.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int rounds =
    6; // the election takes 0.5 to 0.9 s, so that the clients aren't always first
constexpr double round_interval_ms = 13000.0; // more than recoveryS
constexpr int jobs = 6;
// Jobs like `fitting`: 4 tasks of 6.2 cores, 900 ms on the mean and 3,600 ms at most.
constexpr int tasks = 4;
constexpr int cpu_milli = 6200;
constexpr int estimated_ms = 900;
constexpr int work_ms = 3000;
constexpr int deadline_ms = 1500;
constexpr double retry_delay_ms = 1300.0; // retryDelayMs
constexpr double kill_after_ms = 500.0;
constexpr double down_ms = 700.0; // "back within a second"

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 4}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    const std::string first = it.core()[0];
    const std::string second = it.core()[1];
    std::atomic<int> repeated = 0;
    const int wanted_rounds = has_trouble() ? rounds : 2;
    for (int round = 0; round < wanted_rounds && it.simultaneous_runs().empty(); ++round)
    {
        const auto began = now_ms();
        std::vector<std::thread> clients;
        clients.reserve(jobs);
        for (int n = 0; n < jobs; ++n)
        {
            clients.emplace_back(
                [&, n]
                {
                    const fleet::job job{new_job_id(), tasks,   cpu_milli,
                                         estimated_ms, work_ms, deadline_ms};
                    sleep_ms(20.0 * n);
                    const auto reply = it.post(first, job);
                    // After no response, a broken channel, 502 or 504 the job is sent again.
                    if (reply.status == 0 || reply.status == 502 || reply.status == 504)
                    {
                        ++repeated;
                        sleep_ms(retry_delay_ms);
                        it.post(second, job);
                    }
                });
        }
        sleep_ms(kill_after_ms);
        if (has_trouble())
        {
            for (const auto& name : it.core())
            {
                it.kill(name);
            }
            sleep_ms(down_ms);
            for (const auto& name : it.core())
            {
                it.start(name);
            }
        }
        for (auto& client : clients)
        {
            client.join();
        }
        sleep_ms(1500.0);
        if (round + 1 < wanted_rounds && it.simultaneous_runs().empty())
        {
            sleep_ms(began + round_interval_ms - now_ms());
        }
    }
    const auto twice = it.simultaneous_runs();
    for (const auto& [a, b] : twice)
    {
        it.note("TWICE: " + it.text_of(a) + "; " + it.text_of(b));
    }
    return it.conclude(twice.empty() ? rule_held : rule_broken,
                       std::to_string(repeated) + " jobs sent again; " +
                           std::to_string(twice.size()) +
                           " pairs of runs of a task at the same time");
}
