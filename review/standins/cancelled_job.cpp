// A client cancels a job that runs on a route which has just been removed.

#include "fleet.hpp"

#include <iostream>

namespace savoryreach::review
{
namespace
{

constexpr int fronts = 3;
constexpr int workers = 4;
constexpr int task_count = 4;
/// Length of a task in the example of PROTOCOL.md.
constexpr int task_ms = 7000;
constexpr int limit_ms = 10'000;
/// `cancel_ms` and `stopTimeoutMs`.
constexpr int cancel_ms = 3000;
constexpr int stop_timeout_ms = 50;
constexpr const char* kept_prefix = "/pule252/";
constexpr const char* removed_prefix = "/lohu930/";

int run_case(const std::string& record_path)
{
    record log(record_path);
    fleet all(fronts, workers, log);
    all.start();
    constexpr int start_limit_ms = 20'000;
    if (!all.wait_until_ready(start_limit_ms) ||
        all.replace_config(0, fleet::config(1, {kept_prefix, removed_prefix})).status != 200)
    {
        log.add("the fleet did not start");
        return exit_not_run;
    }
    pause_ms(3000);
    const auto job = job_id(1);
    std::thread client(
        [&]
        {
            log.add("client sends job " + job + " to front 0");
            const auto got = all.send_job(0, removed_prefix, job, task_count, task_ms, limit_ms);
            log.add("client gets " + std::to_string(got.status) + " " + got.body + " for the job");
        });
    pause_ms(1000);
    const auto changed = is_trouble_wanted() ? fleet::config(2, {kept_prefix})
                                             : fleet::config(2, {kept_prefix, removed_prefix});
    log.add("operator sends version 2: " + changed);
    log.add("operator gets " + std::to_string(all.replace_config(1, changed).status));
    pause_ms(500);
    const auto running = log.running_tasks(job);
    const auto cancelled = all.cancel_job(2, removed_prefix, job);
    log.add("client cancels the job at front 2 while " + std::to_string(running) +
            " tasks run, gets " + std::to_string(cancelled.status) + " " + cancelled.body);
    pause_ms(cancel_ms + stop_timeout_ms);
    const auto left = log.running_tasks(job);
    log.add(std::to_string(left) + " tasks run later than cancel_ms and stopTimeoutMs after that");
    client.join();
    const bool is_acknowledged = cancelled.status == 410 || cancelled.status / 100 == 2;
    if (running == 0 || !is_acknowledged)
    {
        return exit_not_run;
    }
    return left > 0 ? exit_broken : exit_held;
}

} // namespace
} // namespace savoryreach::review

int main(int argc, char** argv)
{
    const int code = savoryreach::review::run_case(argc > 1 ? argv[1] : "record.txt");
    std::cout << (code == 0 ? "held" : code == 1 ? "broken" : "not run") << "\n";
    return code;
}
