// Case: a worker leaves behind a partition and starts again under its id; its call arrives late.
// Rule TWICE.

#include "delaying_proxy.hpp"

using namespace review;

namespace
{

constexpr int jobs = 16;
constexpr double cut_ms = 3400.0;        // from just before the worker says that it leaves
constexpr double arrival_ms = 1200.0;    // after the cut: the interval of TCP's retransmissions
constexpr double jobs_before_ms = 400.0; // before that

} // namespace

int main(int, char** argv)
{
    fleet it({.core = 3, .other_fronts = 2, .workers = 7}, argv[1]);
    const auto ip = it.worker_ip(0);
    delaying_proxy link(ip, it.control_port() + 50, ip, it.control_port());
    const auto control = ip + ":" + std::to_string(it.control_port() + 50);
    if (!it.start_all(control))
    {
        return it.conclude(could_not_run, "the deployment did not become ready");
    }
    it.signal("worker-0", SIGTERM, "SIGTERM");
    sleep_ms(2000.0);
    const auto healed_at = now_ms() + cut_ms;
    if (has_trouble())
    {
        link.cut(healed_at, healed_at + arrival_ms);
        it.note("the link of worker-0 to its node is cut for " + std::to_string(cut_ms) + " ms");
    }
    if (!it.await_end("worker-0", 5000.0))
    {
        return it.conclude(could_not_run, "worker-0 did not end");
    }
    sleep_ms(healed_at + 100.0 - now_ms());
    it.start_worker(0, {"i-worker-0", 64000, 1.0, control});
    sleep_ms(healed_at + arrival_ms - jobs_before_ms - now_ms());
    std::vector<std::thread> clients;
    for (int n = 0; n < jobs; ++n)
    {
        const fleet::job job{new_job_id(), 2, 6200, 900, 900, 1500};
        clients.emplace_back([&it, job, n] { it.post(it.fronts()[n % 5], job); });
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
                       std::to_string(twice.size()) + " pairs of runs of a task at the same time");
}
