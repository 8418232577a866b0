// A route is removed while jobs that were accepted on it run. Each client sends its job once and
// waits for the answer within its time limit.

#include "fleet.hpp"

#include <atomic>
#include <iostream>

namespace savoryreach::review
{
namespace
{

constexpr int fronts = 3;
constexpr int endpoints = 4;
constexpr int clients = 6;
constexpr int task_count = 4;
/// A task of the kind `fitting`, which SYSTEM.md gives with 900 ms.
constexpr int task_ms = 900;
/// Time limit of the kind `fitting`.
constexpr int limit_ms = 1500;
constexpr const char* kept_prefix = "/pule252/";
constexpr const char* removed_prefix = "/lohu930/";

int run_case(const std::string& record_path)
{
    record log(record_path);
    fleet all(fronts, endpoints, log);
    all.start();
    constexpr int start_limit_ms = 20'000;
    if (!all.wait_until_ready(start_limit_ms) ||
        all.replace_config(0, fleet::config(1, {kept_prefix, removed_prefix})).status != 200)
    {
        log.add("the fleet did not start");
        return exit_not_run;
    }
    pause_ms(3000);
    std::vector<reply> answers(clients);
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&, n]
            {
                log.add("client sends job " + job_id(n) + " to front " +
                        std::to_string(n % fronts));
                answers[n] = all.send_job(n % fronts, removed_prefix, job_id(n), task_count,
                                          task_ms, limit_ms);
                log.add("client gets " + std::to_string(answers[n].status) + " " + answers[n].body +
                        " for job " + job_id(n));
            });
    }
    pause_ms(300);
    const bool trouble = is_trouble_wanted();
    const auto changed =
        trouble ? fleet::config(2, {kept_prefix}) : fleet::config(2, {kept_prefix, removed_prefix});
    log.add("operator sends version 2: " + changed);
    log.add("operator gets " + std::to_string(all.replace_config(1, changed).status));
    for (auto& it : threads)
    {
        it.join();
    }
    pause_ms(500);
    int untrue = 0;
    int completed = 0;
    for (int n = 0; n < clients; ++n)
    {
        const int status = answers[n].status;
        const bool rejected = status == 404 || status == 429 || status == 503;
        completed += status == 200 ? 1 : 0;
        untrue += rejected && log.has_started(job_id(n)) ? 1 : 0;
    }
    log.add(std::to_string(completed) + " of " + std::to_string(clients) + " jobs completed; " +
            std::to_string(untrue) + " rejected to their clients, though their tasks had started");
    if (completed == 0 && untrue == 0)
    {
        return exit_not_run;
    }
    return untrue > 0 ? exit_broken : exit_held;
}

} // namespace
} // namespace savoryreach::review

int main(int argc, char** argv)
{
    const int code = savoryreach::review::run_case(argc > 1 ? argv[1] : "record.txt");
    std::cout << (code == 0 ? "held" : code == 1 ? "broken" : "not run") << "\n";
    return code;
}
