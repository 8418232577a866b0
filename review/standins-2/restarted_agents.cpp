// Case: the processes beside the workers are killed one after the other, each soon after a status
// report of its worker, and are back after a short delay. Rule Gate.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int workers = 4;
constexpr double job_interval_ms = 50.0;
constexpr double calm_ms = 4000.0;
constexpr int rounds = 2; // each process is killed so often
constexpr double traffic_ms = 80000.0;
constexpr double kill_after_ms = 20.0; // after the report
constexpr double down_ms = 100.0;
constexpr double settle_ms = 1800.0;  // more than an interval of the reports
constexpr double most_unserved = 0.6; // bound of the rule

} // namespace

int main(int, char** argv)
{
    ::setenv("LOG_REPORTS", "1", 1);
    fleet it({.core = 3, .other_fronts = 2, .workers = workers}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    std::atomic<int> owed = 0;
    std::atomic<int> served = 0;
    std::atomic<int> owed_last = 0; // of the last 20 s
    std::atomic<int> served_last = 0;
    const auto end = now_ms() + traffic_ms;
    std::thread traffic(
        [&]
        {
            std::vector<std::thread> clients;
            for (std::size_t n = 0; now_ms() < end; ++n)
            {
                clients.emplace_back(
                    [&, n]
                    {
                        const bool is_last = now_ms() > end - 20000.0;
                        const auto reply = it.post(it.fronts()[n % it.fronts().size()],
                                                   {new_job_id(), 4, 6200, 300, 300, 1500});
                        const int ok = reply.status == 200 ? 1 : 0;
                        ++owed;
                        served += ok;
                        owed_last += is_last ? 1 : 0;
                        served_last += is_last ? ok : 0;
                    });
                sleep_ms(job_interval_ms);
            }
            for (auto& client : clients)
            {
                client.join();
            }
        });
    sleep_ms(calm_ms);
    for (int n = 0; has_trouble() && n < rounds * workers; ++n)
    {
        const auto number = std::to_string(n % workers);
        const auto before = it.last_report("worker-" + number);
        while (it.last_report("worker-" + number) == before && now_ms() < end)
        {
            sleep_ms(2.0);
        }
        sleep_ms(kill_after_ms);
        it.kill("side-" + number);
        sleep_ms(down_ms);
        it.start("side-" + number);
        sleep_ms(settle_ms);
    }
    traffic.join();
    const double unserved = 1.0 - static_cast<double>(served) / std::max<int>(owed, 1);
    return it.conclude(unserved > most_unserved ? rule_broken : rule_held,
                       std::to_string(served) + " of " + std::to_string(owed) + " jobs served, " +
                           std::to_string(served_last) + " of " + std::to_string(owed_last) +
                           " in the last 20 s");
}
