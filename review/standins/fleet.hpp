#ifndef SAVORYREACH_REVIEW_STANDINS_FLEET_HPP
#define SAVORYREACH_REVIEW_STANDINS_FLEET_HPP

#include "endpoint.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <json/json.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace savoryreach::review
{

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// One process of the deploy file. It ends with this program at the latest.
class child_process
{
public:
    child_process(std::string role, std::string settings, std::string log)
        : role_(std::move(role)), settings_(std::move(settings)), log_(std::move(log))
    {
    }
    ~child_process() { end(); }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void start()
    {
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ != 0)
        {
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
        {
            ::_exit(exit_not_run);
        }
        const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("SAVORYREACH_CONFIG", settings_.c_str(), 1);
        ::execl("target/daemons/savoryreach-fleet", "target/daemons/savoryreach-fleet",
                role_.c_str(), static_cast<char*>(nullptr));
        ::_exit(exit_not_run);
    }
    void signal(int number) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }
    /// True when the process has ended by itself.
    [[nodiscard]] bool has_ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
        {
            pid_ = -1;
        }
        return pid_ <= 0;
    }
    void end()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        pid_ = -1;
    }

private:
    std::string role_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/// A client's or the operator's call and its answer; status 0 for none.
struct reply
{
    int status = 0;
    std::string body;
};

/// A small deployment on loopback: fronts with a disk, and endpoints with an agent each.
class fleet
{
public:
    static constexpr int client_port = 8161;
    static constexpr int control_port = 8166;
    static constexpr int ready_port = 8167;
    static constexpr int endpoint_port = 8165;
    static constexpr int grace_ms = 6000;
    static constexpr int restart_delay_ms = 500;
    static constexpr int first_internal_port = 7720;
    static constexpr int first_endpoint = 30;
    static constexpr const char* host = "nony24.example";
    static constexpr const char* service = "huvo11a";

    fleet(int fronts, int endpoints, record& log) : record_(log)
    {
        // Any network of the loopback range will do; when none has a free port, the fronts don't
        // start and the case can't run.
        constexpr int max_tries = 50;
        std::random_device device;
        for (int n = 0; n == 0 || (n < max_tries && !are_ports_free()); ++n)
        {
            network_ = "127." + std::to_string(16 + device() % 200) + "." +
                       std::to_string(device() % 256) + ".";
        }
        std::array<char, 32> name{"/tmp/review-XXXXXX"};
        folder_ = ::mkdtemp(name.data());
        for (int n = 0; n < fronts; ++n)
        {
            fronts_.push_back(add_process("front", n, fronts));
        }
        for (int n = 0; n < endpoints; ++n)
        {
            const auto ip = ip_of(first_endpoint + n);
            agents_.push_back(add_process("agent", first_endpoint + n, fronts));
            endpoints_.push_back(std::make_unique<endpoint>(ip, n, service, record_));
        }
    }
    ~fleet()
    {
        fronts_.clear();
        agents_.clear();
        endpoints_.clear();
        std::error_code ec;
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(folder_, ec);
        }
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start()
    {
        record_.add("logs in " + folder_.string());
        for (auto* group : {&fronts_, &agents_})
        {
            for (auto& it : *group)
            {
                it->start();
            }
        }
    }
    /// The platform's part: starts each process that has ended by itself again, after a short
    /// delay.
    void restart_ended()
    {
        for (std::size_t n = 0; n < fronts_.size(); ++n)
        {
            if (fronts_[n]->has_ended())
            {
                record_.add("front " + std::to_string(n) + " has ended by itself");
                pause_ms(restart_delay_ms);
                fronts_[n]->start();
            }
        }
    }
    /// SIGTERM, after the grace period SIGKILL, and a new start.
    void roll(int front)
    {
        auto& it = *fronts_[static_cast<std::size_t>(front)];
        record_.add("SIGTERM to front " + std::to_string(front));
        it.signal(SIGTERM);
        const auto end = now_ms() + grace_ms;
        while (!it.has_ended() && now_ms() < end)
        {
            pause_ms(20);
        }
        it.end();
        pause_ms(restart_delay_ms);
        it.start();
        record_.add("front " + std::to_string(front) + " is started again");
    }
    /// Waits until every front reports ready; false after \p limit_ms.
    [[nodiscard]] bool wait_until_ready(int limit_ms)
    {
        const auto end = now_ms() + limit_ms;
        while (now_ms() < end)
        {
            std::size_t ready = 0;
            for (std::size_t n = 0; n < fronts_.size(); ++n)
            {
                httplib::Client to(ip_of(static_cast<int>(n)), ready_port);
                const auto answer = to.Get("/savoryreach/readyz");
                ready += answer && answer->status == 200 ? 1 : 0;
            }
            if (ready == fronts_.size())
            {
                return true;
            }
            pause_ms(100);
        }
        return false;
    }

    /// The operator's call: the next node is called after a second without an answer.
    reply replace_config(int front, const std::string& body)
    {
        httplib::Client to(ip_of(front), control_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(1, 0);
        const auto answer = to.Post("/savoryreach/config/replace", body, "application/json");
        return answer ? reply{answer->status, answer->body} : reply{};
    }
    reply read_config(int front)
    {
        httplib::Client to(ip_of(front), control_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(1, 0);
        const auto answer = to.Get("/savoryreach/config/read");
        return answer ? reply{answer->status, answer->body} : reply{};
    }
    /// A job of \p tasks tasks of \p task_ms each; the client waits for \p limit_ms.
    reply send_job(int front, const std::string& prefix, const std::string& id, int tasks,
                   int task_ms, int limit_ms)
    {
        httplib::Client to(ip_of(front), client_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(limit_ms / 1000, limit_ms % 1000 * 1000);
        const httplib::Headers headers{{"Host", host},
                                       {"X-Savoryreach-Deadline-Ms", std::to_string(limit_ms)}};
        Json::Value step;
        step["count"] = tasks;
        step["cpu"] = endpoint::task_cpu_milli;
        step["memMb"] = 256;
        step["estimatedMs"] = task_ms;
        Json::Value body;
        body["spec"] = std::to_string(task_ms);
        body["bestEffort"] = true;
        body["steps"].append(step);
        const auto answer = to.Post(prefix + id, headers, to_text(body), "application/json");
        return answer ? reply{answer->status, answer->body} : reply{};
    }

    reply cancel_job(int front, const std::string& prefix, const std::string& id)
    {
        httplib::Client to(ip_of(front), client_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(1, 0);
        const httplib::Headers headers{{"Host", host}};
        const auto answer = to.Delete(prefix + id, headers);
        return answer ? reply{answer->status, answer->body} : reply{};
    }

    /// A desired state with one route for each of \p prefixes; the routes are named by \p names.
    static std::string config(int version, const std::vector<std::string>& prefixes,
                              const std::string& name = "r-3hwrr6x")
    {
        Json::Value body;
        body["version"] = version;
        body["routes"] = Json::arrayValue;
        for (const auto& prefix : prefixes)
        {
            Json::Value route;
            route["name"] = prefix == prefixes.front() ? name : "r" + prefix.substr(1, 6);
            route["host"] = host;
            route["pathPrefix"] = prefix;
            route["kind"] = "non_idempotent";
            route["timeoutMs"] = 1500;
            route["targetRuntimeMs"] = 60;
            route["priority"] = 0;
            route["service"] = service;
            route["maxAttempts"] = 4;
            route["slackFactor"] = 1.6;
            body["routes"].append(route);
        }
        Json::Value pool;
        pool["name"] = service;
        pool["healthPath"] = "/healthz";
        pool["maxConns"] = 64;
        pool["protocol"] = "h1";
        pool["tls"] = false;
        pool["enforceCapacity"] = false;
        pool["standby"] = false;
        body["services"].append(pool);
        body["limits"]["maxHeaderBytes"] = 16384;
        body["limits"]["maxBodyBytes"] = 262144;
        body["limits"]["headerTimeoutMs"] = 3000;
        body["limits"]["idleTimeoutMs"] = 15000;
        return to_text(body);
    }

    [[nodiscard]] std::vector<std::unique_ptr<child_process>>& fronts() { return fronts_; }
    [[nodiscard]] std::vector<std::unique_ptr<child_process>>& agents() { return agents_; }
    [[nodiscard]] std::vector<std::unique_ptr<endpoint>>& endpoints() { return endpoints_; }
    [[nodiscard]] std::filesystem::path data_folder(int front) const
    {
        return folder_ / ("front-" + std::to_string(front) + "-data");
    }
    [[nodiscard]] std::string ip_of(int n) const { return network_ + std::to_string(10 + n); }

private:
    [[nodiscard]] bool are_ports_free() const
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(client_port);
        ::inet_pton(AF_INET, ip_of(0).c_str(), &address.sin_addr);
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const int failed = ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::close(probe);
        return failed == 0;
    }

    std::unique_ptr<child_process> add_process(const std::string& role, int number, int fronts)
    {
        const auto ip = ip_of(number);
        const auto at = [&ip](int port)
        {
            return ip + ":" + std::to_string(port);
        };
        const auto name = role + "-" + std::to_string(number);
        Json::Value out;
        out["nodeName"] = name;
        out["role"] = role;
        out["machineClass"] = role == "front" ? "edge" : "side";
        out["ip"] = ip;
        out["zone"] = "ljubljana";
        out["region"] = "slo";
        out["listenAddrs"]["controlPlane"] = at(control_port);
        out["internalPorts"].append(first_internal_port);
        out["internalPorts"].append(first_internal_port + 15);
        for (int n = 0; n < fronts; ++n)
        {
            out["seeds"].append(ip_of(n) + ":" + std::to_string(control_port));
        }
        out["bootstrap"] = true;
        out["faultTolerance"]["machines"] = 1;
        out["heartbeatMs"] = 1500;
        out["commandMode"] = "invoke";
        out["bounds"]["graceS"] = 6;
        out["bounds"]["holdMaxMs"] = endpoint::longest_lease_ms;
        if (role == "front")
        {
            out["listenAddrs"]["frontend"] = at(client_port);
            out["listenAddrs"]["ready"] = at(ready_port);
            out["dataDir"] = (folder_ / (name + "-data")).string();
            std::filesystem::create_directories(folder_ / (name + "-data"));
        }
        else
        {
            out["app"] = at(endpoint_port);
            out["service"] = service;
        }
        const auto file = folder_ / (name + ".json");
        settings_.push_back({file, out});
        std::ofstream(file) << to_text(out);
        return std::make_unique<child_process>(role, file.string(),
                                               (folder_ / (name + ".log")).string());
    }

public:
    /// From now on the settings files say that this is not the first start.
    void clear_bootstrap()
    {
        for (auto& [file, content] : settings_)
        {
            content["bootstrap"] = false;
            std::ofstream(file) << to_text(content);
        }
    }

private:
    record& record_;
    std::string network_;
    std::filesystem::path folder_;
    std::vector<std::pair<std::filesystem::path, Json::Value>> settings_;
    std::vector<std::unique_ptr<child_process>> fronts_;
    std::vector<std::unique_ptr<child_process>> agents_;
    std::vector<std::unique_ptr<endpoint>> endpoints_;
};

/// The id of a client's job: 16 hexadecimal digits.
inline std::string job_id(std::uint64_t number)
{
    constexpr std::uint64_t first = 0x5c0e7a2100000000;
    std::array<char, 17> out = {};
    std::snprintf(out.data(), out.size(), "%016llx",
                  static_cast<unsigned long long>(first + number));
    return out.data();
}

/// True unless the environment says TROUBLE=0.
inline bool is_trouble_wanted()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace savoryreach::review

#endif
