// Case: a client repeats its job after its front was killed, and the dispatcher is killed in
// between. Rule TWICE.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int jobs = 6;
// Jobs like `fitting`: 4 tasks of 6.2 cores, 900 ms on the mean and 3,600 ms at most.
constexpr int tasks = 4;
constexpr int cpu_milli = 6200;
constexpr int estimated_ms = 900;
constexpr int work_ms = 3000;
constexpr int deadline_ms = 1500;
constexpr double retry_delay_ms = 1300.0;   // retryDelayMs
constexpr double between_kills_ms = 1000.0;
constexpr double down_ms = 3000.0; // for_s of node_kill

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 4}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    const std::string first = it.fronts()[3];
    const std::string second = it.fronts()[4];
    const auto leader = it.leader();
    it.note("the dispatcher is " + leader);
    std::vector<std::thread> clients;
    std::atomic<int> served = 0;
    for (int n = 0; n < jobs; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                const fleet::job job{new_job_id(),
                                     tasks, cpu_milli, estimated_ms, work_ms, deadline_ms};
                sleep_ms(20.0 * n);
                auto reply = it.post(first, job);
                // After no response, a broken channel, 502 or 504 the job is sent again.
                if (reply.status == 0 || reply.status == 502 || reply.status == 504)
                {
                    sleep_ms(retry_delay_ms);
                    reply = it.post(second, job);
                }
                served += reply.status == 200 ? 1 : 0;
            });
    }
    sleep_ms(500.0);
    if (has_trouble())
    {
        it.kill(first);
        sleep_ms(between_kills_ms);
        it.kill(leader);
        sleep_ms(down_ms);
        it.start(first);
        it.start(leader);
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(1500.0);
    const auto twice = it.simultaneous_runs();
    for (const auto& [a, b] : twice)
    {
        it.note("TWICE: " + it.text_of(a) + "; " + it.text_of(b));
    }
    return it.conclude(twice.empty() ? rule_held : rule_broken,
                       std::to_string(served) + " of " + std::to_string(jobs) + " jobs served; " +
                           std::to_string(twice.size()) + " pairs of runs of a task at the same time");
}
