#include "platform/agent_api.hpp"
#include "platform/endpoint_client.hpp"
#include "platform/front_api.hpp"
#include "platform/settings.hpp"
#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/agent_node.hpp"
#include "savoryreach/daemon/fleet_node.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/daemon/metrics_service.hpp"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <boost/asio.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>

DEFINE_bool(check_settings, false, "check the settings file and end");
DEFINE_uint32(metrics_port, 9464, "TCP port of GET /metrics, as deploy/system.toml names it");
DEFINE_string(settings, "", "settings file; by default the one that the environment names");

namespace savoryreach
{
namespace
{

constexpr int exit_bad_settings = 2;

/// After the order to end, a front stays reachable for this long: new connections stop coming after
/// two failed checks of readiness, a second apart.
constexpr std::chrono::milliseconds stays_reachable(3200);
/// Before the end of the grace time, what is left is cut off.
constexpr std::chrono::milliseconds exit_margin(500);
constexpr std::chrono::milliseconds drain_check(50);
/// Interval at which the settings file is read again; it may change without a signal.
constexpr std::chrono::seconds settings_interval(1);

using settings = platform::settings;

/// Calls \p changed when the first addresses in the settings file have changed.
class settings_watch
{
public:
    settings_watch(boost::asio::io_context& io, std::string path, settings now,
                   std::function<void(const settings&)> changed)
        : timer_(io), hangup_(io, SIGHUP), path_(std::move(path)), now_(std::move(now)),
          changed_(std::move(changed))
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
                    reload();
                    wait();
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
                    daemon::log(daemon::log_level::info, "reload", {});
                    reload();
                    wait_for_signal();
                }
            });
    }

    void reload()
    {
        std::string why;
        const auto read = platform::read_settings(path_, why);
        if (!read)
        {
            if (why != last_reason_)
            {
                daemon::log(daemon::log_level::error, "settings_invalid", {{"reason", why}});
                last_reason_ = why;
            }
            return;
        }
        last_reason_.clear();
        if (!(*read == now_))
        {
            daemon::log(daemon::log_level::info, "settings_changed",
                        {{"seeds", absl::StrCat(read->seeds.size())}});
            now_ = *read;
            changed_(now_);
        }
    }

    boost::asio::steady_timer timer_;
    boost::asio::signal_set hangup_;
    std::string path_;
    settings now_;
    std::string last_reason_;
    std::function<void(const settings&)> changed_;
};

/// Metrics are an aid only: a process whose port is taken runs without them.
template <typename Node>
std::unique_ptr<daemon::metrics_service> serve_metrics(boost::asio::io_context& io,
                                                       const settings& chosen, Node& node)
{
    auto out =
        std::make_unique<daemon::metrics_service>(io, [&node] { return node.metrics_text(); });
    if (const auto why = out->listen(absl::StrCat(chosen.ip, ":", FLAGS_metrics_port)))
    {
        daemon::log(daemon::log_level::warning, "metrics_not_served", {{"reason", *why}});
    }
    return out;
}

int start_failed(const std::string& why)
{
    daemon::log(daemon::log_level::error, "start_failed", {{"reason", why}});
    daemon::flush_log();
    return 1;
}

int run_front(const settings& chosen, const std::string& path, const base::clock& clock,
              observe::hybrid_clock& hybrid)
{
    boost::asio::io_context io(1);
    daemon::fleet_node node(io, clock, hybrid,
                            {absl::StrCat(chosen.node_name, "/", std::random_device()()), chosen.ip,
                             absl::StrCat(chosen.ip, ":", chosen.internal_port), chosen.seeds,
                             chosen.data_folder, chosen.first_start, chosen.tolerated_failures});
    platform::front_api api(io, node);
    if (const auto why =
            api.listen(chosen.client_address, chosen.control_address, chosen.ready_address))
    {
        return start_failed(*why);
    }
    if (const auto why = node.start())
    {
        return start_failed(*why);
    }
    const auto metrics = serve_metrics(io, chosen, node);
    const settings_watch watch(io, path, chosen,
                               [&node](const settings& it) { node.set_seeds(it.seeds); });
    boost::asio::signal_set ends(io, SIGTERM, SIGINT);
    boost::asio::steady_timer timer(io);
    std::chrono::steady_clock::time_point earliest;
    std::chrono::steady_clock::time_point latest;
    std::function<void()> check = [&]
    {
        timer.expires_after(drain_check);
        timer.async_wait(
            [&](const boost::system::error_code&)
            {
                const auto now = std::chrono::steady_clock::now();
                if (now >= earliest)
                {
                    api.stop_accepting();
                }
                if ((now < earliest || api.open_requests() > 0) && now < latest)
                {
                    check();
                    return;
                }
                daemon::log(daemon::log_level::info, "stopped",
                            {{"cut_requests", absl::StrCat(api.open_requests())}});
                api.stop();
                node.stop();
                io.stop();
            });
    };
    ends.async_wait(
        [&](const boost::system::error_code& ec, int)
        {
            if (ec)
            {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            earliest = now + stays_reachable;
            latest = now + absl::ToChronoMilliseconds(chosen.stop_grace) - exit_margin;
            daemon::log(daemon::log_level::info, "draining",
                        {{"open_requests", absl::StrCat(api.open_requests())}});
            api.drain();
            node.begin_drain();
            check();
        });
    io.run();
    return 0;
}

int run_agent(const settings& chosen, const std::string& path, const base::clock& clock,
              observe::hybrid_clock& hybrid)
{
    boost::asio::io_context io(1);
    daemon::agent_node node(io, clock, hybrid,
                            {chosen.node_name, chosen.ip, chosen.seeds, chosen.longest_lease});
    platform::endpoint_client calls(io, chosen.ip, chosen.endpoint_address, node);
    platform::agent_api api(io, node);
    node.start(calls);
    if (const auto why = api.listen(chosen.control_address))
    {
        return start_failed(*why);
    }
    const auto metrics = serve_metrics(io, chosen, node);
    const settings_watch watch(io, path, chosen,
                               [&node](const settings& it) { node.set_seeds(it.seeds); });
    boost::asio::signal_set ends(io, SIGTERM, SIGINT);
    ends.async_wait(
        [&](const boost::system::error_code& ec, int)
        {
            if (!ec)
            {
                // The next process carries on: leases outlast a quick restart.
                daemon::log(daemon::log_level::info, "stopped", {});
                api.stop();
                node.stop();
                io.stop();
            }
        });
    io.run();
    return 0;
}

int run(const std::string& role)
{
    std::string path = FLAGS_settings;
    if (const char* named = std::getenv(platform::settings_variable);
        path.empty() && named != nullptr)
    {
        path = named;
    }
    std::string why;
    const auto chosen = platform::read_settings(path, why);
    if (!chosen)
    {
        std::cerr << path << ": " << why << "\n";
        return exit_bad_settings;
    }
    if (FLAGS_check_settings)
    {
        std::cout << path << ": settings are valid\n";
        return 0;
    }
    const base::system_clock clock;
    observe::hybrid_clock hybrid(clock);
    daemon::open_buffered_log(chosen->node_name, hybrid);
    const int code = role == "front" ? run_front(*chosen, path, clock, hybrid)
                                     : run_agent(*chosen, path, clock, hybrid);
    // What must last is on disk; the log library's threads are not waited for.
    std::_Exit(code);
}

} // namespace
} // namespace savoryreach

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
