// Case: a worker crashes as jobs arrive and starts again at once, under its id, as another kind.
// Rules ROUTE (requiredLabel) and LIMIT.

#include "fleet.hpp"

#include <set>

using namespace review;

namespace
{

constexpr int labelled_jobs = 3;
constexpr int other_jobs = 14;
constexpr double jobs_after_ms = 10.0; // after the crash
constexpr double down_ms = 120.0;

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 7, .first_kind = "b"}, argv[1]);
    if (!it.start_all())
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    std::vector<std::thread> clients;
    std::set<std::string> labelled; // ids
    if (has_trouble())
    {
        it.kill("worker-0");
    }
    sleep_ms(jobs_after_ms);
    for (int n = 0; n < labelled_jobs + other_jobs; ++n)
    {
        fleet::job job{new_job_id(), 4, 6200, 900, 900, 1500, n < labelled_jobs ? "b" : ""};
        if (!job.label.empty())
        {
            labelled.insert(job.id);
        }
        clients.emplace_back([&it, job, n] { it.post(it.fronts()[n % 5], job); });
    }
    sleep_ms(down_ms);
    if (has_trouble())
    {
        it.start_worker(0, {"i-worker-0", 64000, 1.0, "a"});
    }
    for (auto& client : clients)
    {
        client.join();
    }
    sleep_ms(1500.0);
    int without_label = 0;
    int over = 0;
    for (const auto& run : it.runs())
    {
        const bool needs_b = labelled.contains(run.task.substr(0, 16));
        if (needs_b && run.kind != "b")
        {
            ++without_label;
            it.note("ROUTE: " + it.text_of(run) + ", which has the label " + run.kind +
                    "; requiredLabel is b");
        }
        if (run.used_milli > run.capacity_milli)
        {
            ++over;
            it.note("LIMIT: " + it.text_of(run) + " brings it to " +
                    std::to_string(run.used_milli) + " of " + std::to_string(run.capacity_milli) +
                    " thousandths of a core");
        }
    }
    return it.conclude(without_label + over == 0 ? rule_held : rule_broken,
                       std::to_string(without_label) + " starts on a worker without the label, " +
                           std::to_string(over) + " starts over the capacity of the worker");
}
