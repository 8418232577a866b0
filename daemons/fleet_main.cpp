#include "platform/agent_api.hpp"
#include "platform/endpoint_client.hpp"
#include "platform/front_api.hpp"
#include "platform/settings.hpp"
#include "savoryreach/base/json_reader.hpp"
#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/agent_node.hpp"
#include "savoryreach/daemon/fatal_errors.hpp"
#include "savoryreach/daemon/fleet_node.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/daemon/memory_shares.hpp"
#include "savoryreach/daemon/metrics_service.hpp"
#include "savoryreach/daemon/process_setup.hpp"
#include "savoryreach/daemon/run_loop.hpp"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <boost/asio.hpp>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>

DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_uint32(metrics_port, 9464, "TCP port of GET /metrics, as set in deploy/system.toml");
DEFINE_string(settings, "", "settings file; defaults to the path in SAVORYREACH_CONFIG");

namespace savoryreach
{
namespace
{

constexpr int exit_bad_settings = 2;

/// Time for which a front still accepts connections after SIGTERM: clients are routed elsewhere
/// after two failed readiness checks, which are 1 s apart.
constexpr std::chrono::milliseconds min_drain_time(3200);
/// Time before the end of the grace period at which the process ends, and time before that at which
/// open requests are answered as of unknown outcome: a tick and the way to the client.
constexpr std::chrono::milliseconds exit_margin(500);
constexpr absl::Duration last_answers_margin = absl::Milliseconds(200);
constexpr std::chrono::milliseconds drain_poll_interval(50);
/// Interval at which the settings file is reread, since it may change without a SIGHUP.
constexpr std::chrono::seconds settings_interval(1);

using settings = platform::settings;

/// The signals that the process handles. Constructed before anything listens or uses a disk, since
/// that may take long, and since signal sets need descriptors of their own.
struct process_signals
{
    explicit process_signals(boost::asio::io_context& io)
        : hangup(io, SIGHUP), shutdown(io, SIGTERM, SIGINT)
    {
        daemon::deliver_signals();
    }

    boost::asio::signal_set hangup;
    boost::asio::signal_set shutdown;
};

/// Rereads the settings file periodically and on SIGHUP, and calls \p on_change when a setting has
/// changed.
class settings_watcher
{
public:
    settings_watcher(boost::asio::io_context& io, boost::asio::signal_set& hangup, std::string path,
                     settings current, std::function<void(const settings&)> on_change)
        : timer_(io), hangup_(hangup), path_(std::move(path)), current_(std::move(current)),
          on_change_(std::move(on_change))
    {
        wait();
        wait_for_signal();
    }

private:
    void wait()
    {
        timer_.expires_after(settings_interval);
        timer_.async_wait(
            [this](const boost::system::error_code& ec)
            {
                if (!ec)
                {
                    wait();
                    reload();
                }
            });
    }

    void wait_for_signal()
    {
        hangup_.async_wait(
            [this](const boost::system::error_code& ec, int)
            {
                if (!ec)
                {
                    wait_for_signal();
                    daemon::log(daemon::log_level::info, "reload", {});
                    reload();
                }
            });
    }

    void reload()
    {
        std::string error;
        const auto read = platform::read_settings(path_, error);
        if (!read)
        {
            if (error != last_reason_)
            {
                daemon::log(daemon::log_level::error, "settings_invalid", {{"reason", error}});
                last_reason_ = error;
            }
            return;
        }
        last_reason_.clear();
        if (!(*read == current_))
        {
            daemon::log(daemon::log_level::info, "settings_changed",
                        {{"seeds", absl::StrCat(read->seeds.size())}});
            current_ = *read;
            on_change_(current_);
        }
    }

    boost::asio::steady_timer timer_;
    boost::asio::signal_set& hangup_;
    std::string path_;
    settings current_;
    std::string last_reason_;
    std::function<void(const settings&)> on_change_;
};

/// Starts the metrics server. A process whose metrics port is in use runs without metrics.
template <typename Node>
std::unique_ptr<daemon::metrics_service> serve_metrics(boost::asio::io_context& io,
                                                       const settings& config, Node& node)
{
    auto out =
        std::make_unique<daemon::metrics_service>(io, [&node] { return node.metrics_text(); });
    if (const auto error = out->listen(absl::StrCat(config.ip, ":", FLAGS_metrics_port)))
    {
        daemon::log(daemon::log_level::warning, "metrics_not_served", {{"reason", *error}});
    }
    return out;
}

int start_failed(const std::string& error)
{
    daemon::log(daemon::log_level::error, "start_failed", {{"reason", error}});
    daemon::flush_log();
    return 1;
}

dispatch::dispatcher_options dispatcher_options_of(const settings& config)
{
    dispatch::dispatcher_options out;
    out.remote_factor = config.remote_factor > 0.0 ? config.remote_factor : out.remote_factor;
    return out;
}

daemon::memory_shares limit_memory(const settings& config)
{
    constexpr std::uint64_t mebibyte = 1024UL * 1024;
    const auto out = daemon::memory_shares::of(config.memory_limit_mb * mebibyte);
    base::limit_json_items(out.json_items);
    return out;
}

int run_front(const settings& config, const std::string& path, const base::clock& clock,
              observe::hybrid_clock& hybrid)
{
    boost::asio::io_context io(1);
    process_signals signals(io);
    const auto shares = limit_memory(config);
    daemon::fleet_node node(io, clock, hybrid,
                            {absl::StrCat(config.node_name, "/", std::random_device()()), config.ip,
                             absl::StrCat(config.ip, ":", config.internal_port), config.seeds,
                             config.data_folder, config.first_start, config.tolerated_failures,
                             config.catch_up, dispatcher_options_of(config), shares.links});
    platform::front_api api(io, node);
    if (config.evacuation_delay > absl::ZeroDuration())
    {
        api.serve_evacuations(config.data_centres);
    }
    api.limit_memory(shares);
    if (const auto error = node.start())
    {
        return start_failed(*error);
    }
    if (const auto error =
            api.listen(config.client_address, config.control_address, config.ready_address))
    {
        return start_failed(*error);
    }
    const auto metrics = serve_metrics(io, config, node);
    const settings_watcher watch(io, signals.hangup, path, config,
                                 [&node](const settings& it) { node.set_seeds(it.seeds); });
    boost::asio::steady_timer timer(io);
    std::chrono::steady_clock::time_point earliest_exit;
    std::chrono::steady_clock::time_point latest_exit;
    std::function<void()> poll_drain = [&]
    {
        timer.expires_after(drain_poll_interval);
        timer.async_wait(
            [&](const boost::system::error_code&)
            {
                const auto now = std::chrono::steady_clock::now();
                if (now >= earliest_exit)
                {
                    api.stop_accepting();
                }
                if ((now < earliest_exit || api.open_requests() > 0) && now < latest_exit)
                {
                    poll_drain();
                    return;
                }
                daemon::log(daemon::log_level::info, "stopped",
                            {{"cut_requests", absl::StrCat(api.open_requests())}});
                api.stop();
                node.stop();
                io.stop();
            });
    };
    signals.shutdown.async_wait(
        [&](const boost::system::error_code& ec, int)
        {
            if (ec)
            {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            earliest_exit = now + min_drain_time;
            const auto length = absl::ToChronoMilliseconds(config.stop_grace) - exit_margin;
            latest_exit = now + length;
            daemon::log(daemon::log_level::info, "draining",
                        {{"open_requests", absl::StrCat(api.open_requests())}});
            api.drain();
            node.begin_drain(clock.now() + absl::FromChrono(length) - last_answers_margin);
            poll_drain();
        });
    daemon::run_loop(io, node.events());
    return 0;
}

int run_agent(const settings& config, const std::string& path, const base::clock& clock,
              observe::hybrid_clock& hybrid)
{
    boost::asio::io_context io(1);
    process_signals signals(io);
    daemon::agent_node node(io, clock, hybrid,
                            {config.node_name, config.ip, config.seeds, config.longest_lease,
                             config.heartbeat_interval, config.tolerated_failures});
    platform::endpoint_client calls(io, config.ip, config.endpoint_address, node);
    platform::agent_api api(io, node);
    api.limit_memory(limit_memory(config));
    node.start(calls);
    if (const auto error = api.listen(config.control_address))
    {
        return start_failed(*error);
    }
    const auto metrics = serve_metrics(io, config, node);
    const settings_watcher watch(io, signals.hangup, path, config,
                                 [&node](const settings& it) { node.set_seeds(it.seeds); });
    signals.shutdown.async_wait(
        [&](const boost::system::error_code& ec, int)
        {
            if (!ec)
            {
                // Runs on the endpoint continue: their leases outlast a quick restart of the agent.
                daemon::log(daemon::log_level::info, "stopped", {});
                api.stop();
                node.stop();
                io.stop();
            }
        });
    daemon::run_loop(io, node.events());
    return 0;
}

int run(const std::string& role)
{
    std::string path = FLAGS_settings;
    if (const char* variable = std::getenv(platform::settings_variable);
        path.empty() && variable != nullptr)
    {
        path = variable;
    }
    std::string error;
    const auto config = platform::read_settings(path, error);
    if (!config)
    {
        std::cerr << path << ": " << error << "\n";
        return exit_bad_settings;
    }
    if (FLAGS_check_settings)
    {
        std::cout << path << ": settings are valid\n";
        return 0;
    }
    const base::system_clock clock;
    observe::hybrid_clock hybrid(clock);
    daemon::open_buffered_log(config->node_name, hybrid);
    daemon::log_fatal_errors(config->node_name);
    int code = 0;
    try
    {
        code = role == "front" ? run_front(*config, path, clock, hybrid)
                               : run_agent(*config, path, clock, hybrid);
    }
    catch (const std::exception& exception)
    {
        code = start_failed(exception.what());
    }
    // Exits without waiting for the threads of the log library; durable state is already on disk.
    std::_Exit(code);
}

} // namespace
} // namespace savoryreach

// Runs before the constructors of the shared libraries, which take longer than the rest of a start:
// only the C library may be used.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const prepare)() = &savoryreach::daemon::prepare_process;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("front|agent: a process of savoryreach on the platform");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string role = argc == 2 ? argv[1] : "";
    if (role != "front" && role != "agent")
    {
        std::cerr << "usage: savoryreach-fleet front|agent [--settings FILE] [--check_settings]\n";
        return savoryreach::exit_bad_settings;
    }
    return savoryreach::run(role);
}
