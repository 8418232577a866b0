// Case: a worker crashes as jobs arrive and starts again at once, under its id, as a smaller kind.
// Rule LIMIT.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int jobs = 12; // 4 tasks of 6.2 cores each: more than all workers hold
constexpr int large_milli = 96000;
constexpr int small_milli = 64000;
constexpr double jobs_after_ms = 10.0;
constexpr double down_ms = 120.0;

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 4, .first_worker_milli = large_milli},
             argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    std::vector<std::thread> clients;
    const auto send_jobs = [&]
    {
        for (int n = 0; n < jobs; ++n)
        {
            const fleet::job job{job_id(3000 + n + static_cast<std::uint64_t>(unix_ms())), 4, 6200,
                                 900, 900, 1500};
            clients.emplace_back([&it, job, n] { it.post(it.fronts()[n % 5], job); });
        }
    };
    if (has_trouble())
    {
        it.kill("worker-0");
    }
    sleep_ms(jobs_after_ms);
    send_jobs();
    sleep_ms(down_ms);
    if (has_trouble())
    {
        it.start_worker(0, {"i-worker-0", small_milli, 1.0});
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(1500.0);
    int over = 0;
    const int capacity = has_trouble() ? small_milli : large_milli;
    for (const auto& run : it.runs())
    {
        const int limit = run.worker == "worker-0" ? capacity : small_milli;
        if (run.used_milli > limit)
        {
            ++over;
            it.note("LIMIT: " + it.text_of(run) + " brings it to " +
                    std::to_string(run.used_milli) + " of " + std::to_string(limit) +
                    " thousandths of a core");
        }
    }
    return it.conclude(over == 0 ? rule_held : rule_broken,
                       std::to_string(over) + " starts over the capacity of their worker");
}
