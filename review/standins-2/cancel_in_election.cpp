// Case: a job is cancelled while a new dispatcher is being elected. Rule UNASKED.

#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int jobs = 6;
constexpr int steps = 6; // of 900 ms each
constexpr double kill_after_ms = 300.0;
constexpr double cancel_after_ms = 200.0;  // after the kill
constexpr double restart_after_ms = 800.0; // after the kill
constexpr double contact_ms = 3000.0;      // contactMs: in touch so long after the restart
constexpr double cancel_ms = 3000.0;       // bound of the rule

/// Fronts for the cancels.
std::vector<std::string> fronts_without(const fleet& it, const std::vector<std::string>& left_out)
{
    std::vector<std::string> out = it.fronts();
    std::erase_if(out, [&](const std::string& name)
                  { return std::ranges::find(left_out, name) != left_out.end(); });
    return out;
}

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 4}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    const std::string first = it.fronts()[3];
    const auto leader = it.leader();
    it.note("the dispatcher is " + leader);
    const auto others = fronts_without(it, {leader, first});
    std::vector<fleet::job> all;
    all.reserve(jobs);
    for (int n = 0; n < jobs; ++n)
    {
        all.push_back({new_job_id(), 2, 6200, 900, 900, 8000, steps});
    }
    std::vector<std::thread> clients;
    clients.reserve(std::size_t{2} * jobs);
    for (const auto& job : all)
    {
        clients.emplace_back([&it, &first, job] { it.post(first, job); });
    }
    sleep_ms(kill_after_ms);
    if (has_trouble())
    {
        it.kill(leader);
    }
    const auto killed_at = now_ms();
    sleep_ms(cancel_after_ms);
    std::mutex mutex;
    std::map<std::string, double> acknowledged;
    for (int n = 0; n < jobs; ++n)
    {
        clients.emplace_back(
            [&, n]
            {
                const auto& id = all[static_cast<std::size_t>(n)].id;
                const auto reply =
                    it.cancel(others[static_cast<std::size_t>(n) % others.size()], id);
                // "DELETE cancels the job and returns 2xx or 410."
                if (reply.status / 100 == 2 || reply.status == 410)
                {
                    const std::lock_guard guard(mutex);
                    acknowledged[id] = reply.answered;
                }
            });
    }
    sleep_ms(killed_at + restart_after_ms - now_ms());
    if (has_trouble())
    {
        it.start(leader);
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(500.0);
    int late = 0;
    for (const auto& run : it.runs())
    {
        const auto id = run.task.substr(0, 16);
        const bool in_touch = run.began > killed_at + restart_after_ms + contact_ms;
        if (in_touch && acknowledged.contains(id) && run.began > acknowledged.at(id) + cancel_ms)
        {
            ++late;
            it.note("UNASKED: " + it.text_of(run) + " began " +
                    std::to_string(static_cast<int>(run.began - acknowledged.at(id))) +
                    " ms after the answer to the job's cancelling");
        }
    }
    return it.conclude(late == 0 ? rule_held : rule_broken,
                       std::to_string(acknowledged.size()) + " of " + std::to_string(jobs) +
                           " cancels answered with 2xx or 410; " + std::to_string(late) +
                           " tasks started more than cancel_ms after that");
}
