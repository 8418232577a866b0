// Case: a job is cancelled, the dispatcher is killed, and a copy of the job's request arrives
// seconds later. Rule UNASKED.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int jobs = 4;
constexpr double cancel_after_ms = 300.0;
constexpr double kill_after_ms = 200.0;    // after the acknowledgements
constexpr double restart_after_ms = 500.0; // a killed process is back after a short delay
constexpr double copy_after_ms = 5000.0;   // after the acknowledgements
constexpr double contact_ms = 3000.0;      // contactMs: in touch so long after the restart
constexpr double cancel_ms = 3000.0;       // bound of the rule

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
    std::vector<fleet::job> all;
    all.reserve(jobs);
    for (int n = 0; n < jobs; ++n)
    {
        all.push_back({new_job_id(), 4, 6200, 900, 1200, 1500});
    }
    std::vector<std::thread> clients;
    clients.reserve(std::size_t{2} * jobs);
    for (const auto& job : all)
    {
        clients.emplace_back([&it, &first, job] { it.post(first, job); });
    }
    sleep_ms(cancel_after_ms);
    std::map<std::string, double> acknowledged;
    for (const auto& job : all)
    {
        const auto reply = it.cancel(second, job.id);
        if (reply.status / 100 == 2)
        {
            acknowledged[job.id] = reply.answered;
        }
    }
    for (auto& client : clients)
    {
        client.join();
    }
    if (acknowledged.size() != all.size())
    {
        return it.conclude(could_not_run, "a cancel got no 2xx response");
    }
    const auto acknowledged_at = now_ms();
    sleep_ms(kill_after_ms);
    if (has_trouble())
    {
        it.kill(leader);
        sleep_ms(restart_after_ms);
        it.start(leader);
    }
    const auto in_touch_at = now_ms() + contact_ms;
    sleep_ms(acknowledged_at + copy_after_ms - now_ms());
    clients.clear();
    for (const auto& job : all)
    {
        clients.emplace_back([&it, &second, job] { it.post(second, job); });
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(1000.0);
    int late = 0;
    for (const auto& run : it.runs())
    {
        const auto id = run.task.substr(0, 16);
        if (run.began > in_touch_at && acknowledged.contains(id) &&
            run.began > acknowledged.at(id) + cancel_ms)
        {
            ++late;
            it.note("UNASKED: " + it.text_of(run) + " began " +
                    std::to_string(static_cast<int>(run.began - acknowledged.at(id))) +
                    " ms after the job's cancelling was acknowledged");
        }
    }
    return it.conclude(late == 0 ? rule_held : rule_broken,
                       std::to_string(late) + " tasks of " + std::to_string(jobs) +
                           " cancelled jobs started more than cancel_ms after the acknowledgement");
}
