// A route is removed while jobs that were accepted on it run. Each client sends its job once and
// waits for the answer within its time limit. One long job is cancelled after the change.

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
/// Jobs that come at once are refused for their queue's share of the capacity.
constexpr int send_interval_ms = 40;
/// A task of the kind `fitting`, which SYSTEM.md gives with 900 ms, on a slow endpoint.
constexpr int task_ms = 1200;
/// Time limit of the kind `fitting`.
constexpr int limit_ms = 1500;
/// The long job: tasks as in the example of PROTOCOL.md, `cancel_ms` and `stopTimeoutMs`.
constexpr int long_job = 100;
constexpr int long_task_count = 2;
constexpr int long_task_ms = 7000;
constexpr int long_limit_ms = 10'000;
constexpr int cancel_ms = 3000;
constexpr int stop_timeout_ms = 50;
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
    threads.reserve(clients + 1);
    threads.emplace_back(
        [&all, &log]
        {
            log.add("client sends the long job " + job_id(long_job) + " to front 0");
            const auto got = all.send_job(0, removed_prefix, job_id(long_job), long_task_count,
                                          long_task_ms, long_limit_ms);
            log.add("client gets " + std::to_string(got.status) + " " + got.body +
                    " for the long job");
        });
    pause_ms(send_interval_ms);
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
        pause_ms(send_interval_ms);
    }
    pause_ms(300);
    const bool trouble = is_trouble_wanted();
    const auto changed =
        trouble ? fleet::config(2, {kept_prefix}) : fleet::config(2, {kept_prefix, removed_prefix});
    log.add("operator sends version 2: " + changed);
    log.add("operator gets " + std::to_string(all.replace_config(1, changed).status));
    pause_ms(200);
    const auto running = log.running_tasks(job_id(long_job));
    const auto cancelled = all.cancel_job(2, removed_prefix, job_id(long_job));
    log.add("client cancels the long job while " + std::to_string(running) +
            " of its tasks run, gets " + std::to_string(cancelled.status) + " " + cancelled.body);
    const bool is_acknowledged = cancelled.status == 410 || cancelled.status / 100 == 2;
    pause_ms(cancel_ms + stop_timeout_ms);
    const auto left = is_acknowledged ? log.running_tasks(job_id(long_job)) : 0;
    for (auto& it : threads)
    {
        it.join();
    }
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
    log.add(std::to_string(left) + " tasks of the long job ran later than cancel_ms and " +
            "stopTimeoutMs after its cancel");
    if ((completed == 0 && untrue == 0) || running == 0)
    {
        return exit_not_run;
    }
    log.add(untrue > 0 ? "REFUSED is broken" : "REFUSED holds");
    log.add(left > 0 ? "UNASKED is broken" : "UNASKED holds");
    return untrue > 0 || left > 0 ? exit_broken : exit_held;
}

} // namespace
} // namespace savoryreach::review

int main(int argc, char** argv)
{
    const int code = savoryreach::review::run_case(argc > 1 ? argv[1] : "record.txt");
    std::cout << (code == 0 ? "held" : code == 1 ? "broken" : "not run") << "\n";
    return code;
}
