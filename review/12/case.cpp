// A host that takes requests is killed, and a second later the dispatcher's process. Clients whose
// channel broke send their jobs again. TWICE: a task runs on two workers at the same time.

#include "../stand-ins-3/fleet.hpp"

namespace
{

using namespace review;

constexpr int core_size = 3;
/// The host that is killed and the one that its clients turn to, both without a disk.
constexpr int killed_front = 3;
constexpr int other_front = 4;
constexpr int side_count = 6;
constexpr int job_count = 9;
constexpr std::int64_t run_ms = 3600;
constexpr std::int64_t deadline_ms = 12'000;
/// From the first kill to the second one, and from each to the restart.
constexpr std::int64_t between_kills_ms = 1000;
constexpr std::int64_t down_ms = 500;

const std::vector<job_step> steps{{1, 4000, run_ms, {}}};

/// A client: hands its job in and, after a broken channel, hands it in once more at another host.
void serve_client(fleet& all, const std::string& id)
{
    const int status = all.post_job(all.front(killed_front), id, steps, deadline_ms);
    if (status == 0 || status == 502 || status == 504)
    {
        sleep_ms(retry_delay_ms);
        all.post_job(all.front(other_front), id, steps, deadline_ms);
    }
}

} // namespace

int main(int argc, char** argv)
{
    record out(argc > 1 ? argv[1] : "record.txt");
    run_log runs(out);
    out.line(std::string("TROUBLE=") + (has_trouble() ? "1" : "0"));
    fleet all(out, core_size, 2, side_count);
    std::vector<std::unique_ptr<worker>> workers;
    for (int n = 0; n < side_count; ++n)
    {
        worker::options it;
        it.id = "i-" + std::to_string(n + 1);
        it.ip = all.ip_of(first_side + n);
        it.cpu = 16'000;
        it.run_ms = run_ms;
        workers.push_back(std::make_unique<worker>(it, out, runs));
    }
    all.start();
    if (!std::ranges::all_of(workers, [](auto& it) { return it->listen(); }) || !all.wait_ready() ||
        !all.configure(1))
    {
        return not_run;
    }
    for (auto& it : workers)
    {
        it->begin_life();
    }
    sleep_ms(contact_ms + 1000);
    auto* leader = all.leader();
    if (leader == nullptr)
    {
        return not_run;
    }
    std::vector<std::thread> clients;
    clients.reserve(job_count);
    for (int n = 0; n < job_count; ++n)
    {
        clients.emplace_back([&all, id = job_id(n)] { serve_client(all, id); });
        sleep_ms(20);
    }
    sleep_ms(200);
    const auto begun = runs.all().size();
    if (has_trouble())
    {
        auto& front = all.front(killed_front);
        front.signal(SIGKILL, "SIGKILL    ");
        front.kill();
        sleep_ms(down_ms);
        front.start(false);
        sleep_ms(between_kills_ms - down_ms);
        leader->signal(SIGKILL, "SIGKILL    ");
        leader->kill();
        sleep_ms(down_ms);
        leader->start(false);
    }
    for (auto& it : clients)
    {
        it.join();
    }
    const auto doubles = find_double_runs(runs.all(), out.now_ms(), 1);
    for (const auto& it : doubles)
    {
        out.line("TWICE       " + it);
    }
    if (begun + 2 < job_count)
    {
        return not_run;
    }
    out.line(doubles.empty() ? "the rule held" : "the rule was broken");
    return doubles.empty() ? held : broken;
}
