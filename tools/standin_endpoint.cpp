#include "savoryreach/base/digest.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/daemon/http_server.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/daemon/shutdown_signal.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <mutex>
#include <thread>

DEFINE_string(listen, "127.0.0.1:7400", "ip:port of the service");
DEFINE_double(run_ms, 100, "run time of a task whose payload gives none, milliseconds");
DEFINE_double(slowdown, 1, "factor on every run time");
DEFINE_double(fail_share, 0, "share of tasks that fail, 0 to 1");
DEFINE_bool(fail_fast, false, "failing tasks fail at once instead of after their run time");
DEFINE_double(hang_share, 0, "share of tasks that hang until their run limit, 0 to 1");
DEFINE_double(delay_ms, 0, "one-way network delay to add in both directions, milliseconds");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(start_log, "", "file that gets one line per started task");

namespace savoryreach
{
namespace
{

constexpr int max_connections = 512;

std::chrono::duration<double, std::milli> milliseconds(double n)
{
    return std::chrono::duration<double, std::milli>(n);
}

/// Stand-in for an endpoint's service: sleeps for each task's run time and answers with the
/// payload.
class standin_endpoint
{
public:
    standin_endpoint() : random_(FLAGS_seed)
    {
        if (!FLAGS_start_log.empty())
        {
            start_log_.open(FLAGS_start_log, std::ios::app);
        }
    }

    void run(const httplib::Request& req, httplib::Response& res)
    {
        std::this_thread::sleep_for(milliseconds(FLAGS_delay_ms));
        const auto [fails, hangs] = begin(req);
        const auto run_ms = run_time_of(req) * FLAGS_slowdown;
        if (hangs)
        {
            std::this_thread::sleep_for(milliseconds(run_limit_of(req)));
        }
        else if (!fails || !FLAGS_fail_fast)
        {
            std::this_thread::sleep_for(milliseconds(run_ms));
        }
        std::this_thread::sleep_for(milliseconds(FLAGS_delay_ms));
        res.status = fails || hangs ? 500 : 200;
        res.set_content(fails || hangs ? "stand-in failure" : "done:" + req.body, "text/plain");
    }

private:
    struct choice
    {
        bool fails;
        bool hangs;
    };

    choice begin(const httplib::Request& req)
    {
        const std::lock_guard lock(mutex_);
        if (start_log_.is_open())
        {
            start_log_ << req.get_header_value("X-Savoryreach-Submission") << ' '
                       << req.get_header_value("X-Savoryreach-Task") << ' '
                       << req.get_header_value("X-Savoryreach-Attempt") << std::endl;
        }
        return {random_.unit() < FLAGS_fail_share, random_.unit() < FLAGS_hang_share};
    }

    /// A payload "run_ms=N ..." sets the task's own run time.
    static double run_time_of(const httplib::Request& req)
    {
        constexpr std::string_view prefix = "run_ms=";
        double run_ms = FLAGS_run_ms;
        if (req.body.starts_with(prefix))
        {
            const auto end = req.body.find(' ');
            const auto text = req.body.substr(prefix.size(), end - prefix.size());
            if (!absl::SimpleAtod(text, &run_ms))
            {
                run_ms = FLAGS_run_ms;
            }
        }
        return run_ms;
    }

    static double run_limit_of(const httplib::Request& req)
    {
        double limit_ms = 0;
        return absl::SimpleAtod(req.get_header_value("X-Savoryreach-Run-Limit-Ms"), &limit_ms)
                   ? limit_ms
                   : FLAGS_run_ms;
    }

    std::mutex mutex_; ///< guards all below
    base::seeded_random random_;
    std::ofstream start_log_;
};

int serve()
{
    const daemon::shutdown_signal signals;
    daemon::open_log("", "standin-endpoint");
    standin_endpoint endpoint;
    daemon::http_server server({.max_connections = max_connections});
    server.routes().Post("/run", [&](const httplib::Request& req, httplib::Response& res)
                         { endpoint.run(req, res); });
    if (const auto error = server.start(FLAGS_listen))
    {
        daemon::log(daemon::log_level::error, "start_failed", {{"reason", error->text}});
        return 1;
    }
    daemon::shutdown_signal::wait();
    server.stop();
    return 0;
}

} // namespace
} // namespace savoryreach

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for an endpoint's service, for tests and measurements");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return savoryreach::serve();
}
