// A small deployment on loopback: the project's processes as the deploy file starts them, with
// stand-ins for workers, clients and the operator that follow the users' pages.

#ifndef SAVORYREACH_REVIEW_STAND_INS_3_FLEET_HPP
#define SAVORYREACH_REVIEW_STAND_INS_3_FLEET_HPP

#include <httplib.h>
#include <json/json.h>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
namespace fs = std::filesystem;

inline constexpr int client_port = 8161;
inline constexpr int ready_port = 8167;
inline constexpr int control_port = 8166;
inline constexpr int worker_port = 9000;
inline constexpr int internal_port = 7720;
inline constexpr int metrics_port = 9464;

// Bounds of the small deployments (SYSTEM.md).
inline constexpr std::int64_t hold_max_ms = 1000;
inline constexpr std::int64_t drain_ms = 2000;
inline constexpr std::int64_t cancel_ms = 3000;
inline constexpr std::int64_t contact_ms = 3000;
inline constexpr std::int64_t stop_timeout_ms = 50;
inline constexpr std::int64_t retry_delay_ms = 1300;

// Last bytes of the addresses.
inline constexpr int first_front = 10;
inline constexpr int first_side = 100;

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::string json_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value read_json(const std::string& text)
{
    Json::Value out;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string error;
    if (!reader->parse(text.data(), text.data() + text.size(), &out, &error) || !out.isObject())
    {
        return Json::Value(Json::objectValue);
    }
    return out;
}

/// The file record.txt: what was sent, answered and run, with the time since the start.
class record
{
public:
    explicit record(const std::string& file) : out_(file, std::ios::trunc), begin_(clock::now()) {}

    [[nodiscard]] std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(clock::now() - begin_).count();
    }
    void line(const std::string& text)
    {
        const std::lock_guard guard(mutex_);
        char time[24];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(now_ms()) / 1000);
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock::time_point begin_;
};

/// A run of a task on a worker, as the worker saw it.
struct seen_run
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string worker;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = -1; ///< -1 while it runs
    std::string how;
};

/// All runs of all workers.
class run_log
{
public:
    explicit run_log(record& to) : record_(to) {}

    std::size_t began(const std::string& task, std::uint32_t attempt, const std::string& worker)
    {
        const std::lock_guard guard(mutex_);
        runs_.push_back({task, attempt, worker, record_.now_ms(), -1, ""});
        record_.line("run begins  " + task + " attempt " + std::to_string(attempt) + " on " +
                     worker);
        return runs_.size() - 1;
    }
    void ended(std::size_t at, const std::string& how)
    {
        const std::lock_guard guard(mutex_);
        auto& it = runs_[at];
        it.ended_ms = record_.now_ms();
        it.how = how;
        record_.line("run ends    " + it.task + " attempt " + std::to_string(it.attempt) + " on " +
                     it.worker + " " + how);
    }
    [[nodiscard]] std::vector<seen_run> all()
    {
        const std::lock_guard guard(mutex_);
        return runs_;
    }

private:
    record& record_;
    std::mutex mutex_;
    std::vector<seen_run> runs_;
};

/// Pairs of runs of one task that were at work at the same time for longer than \p least_ms.
inline std::vector<std::string> find_double_runs(const std::vector<seen_run>& runs,
                                                 std::int64_t now_ms, std::int64_t least_ms)
{
    std::vector<std::string> out;
    for (std::size_t a = 0; a < runs.size(); ++a)
    {
        for (std::size_t b = a + 1; b < runs.size(); ++b)
        {
            if (runs[a].task != runs[b].task)
            {
                continue;
            }
            const auto end = [now_ms](const seen_run& it)
            {
                return it.ended_ms < 0 ? now_ms : it.ended_ms;
            };
            const auto overlap =
                std::min(end(runs[a]), end(runs[b])) - std::max(runs[a].began_ms, runs[b].began_ms);
            if (overlap > least_ms)
            {
                out.push_back(runs[a].task + ": attempt " + std::to_string(runs[a].attempt) +
                              " on " + runs[a].worker + " and attempt " +
                              std::to_string(runs[b].attempt) + " on " + runs[b].worker +
                              " at the same time for " + std::to_string(overlap) + " ms");
            }
        }
    }
    return out;
}

/// A process of the project.
class process
{
public:
    process(std::string role, std::string name, fs::path folder, Json::Value settings, record& to)
        : role_(std::move(role)), name_(std::move(name)), folder_(std::move(folder)),
          settings_(std::move(settings)), record_(to)
    {
    }
    ~process() { kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start(bool is_first)
    {
        settings_["bootstrap"] = is_first;
        const auto file = (folder_ / (name_ + ".json")).string();
        std::ofstream(file) << json_text(settings_);
        const auto log = (folder_ / (name_ + ".log")).string();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int n = 3; n < 1024; ++n)
            {
                ::close(n);
            }
            ::setenv("SAVORYREACH_CONFIG", file.c_str(), 1);
            ::execl("target/daemons/savoryreach-fleet", "target/daemons/savoryreach-fleet",
                    role_.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record_.line("start       " + name_ + " (" + role_ + ") pid " + std::to_string(pid_));
    }
    void signal(int number, const char* what)
    {
        if (pid_ > 0)
        {
            record_.line(std::string(what) + " " + name_);
            ::kill(pid_, number);
        }
    }
    void kill()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::kill(pid_, SIGCONT);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    /// True if the process has ended by itself.
    [[nodiscard]] bool has_ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            record_.line("ended by itself: " + name_ + " status " + std::to_string(status));
            pid_ = -1;
            return true;
        }
        return false;
    }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] std::string ip() const { return settings_["ip"].asString(); }
    [[nodiscard]] double metric(const std::string& wanted) const
    {
        httplib::Client to(ip(), metrics_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(1, 0);
        const auto reply = to.Get("/metrics");
        if (!reply)
        {
            return -1;
        }
        std::istringstream lines(reply->body);
        for (std::string text; std::getline(lines, text);)
        {
            if (text.starts_with(wanted + " "))
            {
                return std::stod(text.substr(wanted.size() + 1));
            }
        }
        return -1;
    }
    [[nodiscard]] bool leads() const { return metric("savoryreach_leads") == 1.0; }
    [[nodiscard]] bool is_ready() const
    {
        httplib::Client to(ip(), ready_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(1, 0);
        const auto reply = to.Get("/savoryreach/readyz");
        return reply && reply->status == 200;
    }

private:
    std::string role_;
    std::string name_;
    fs::path folder_;
    Json::Value settings_;
    record& record_;
    pid_t pid_ = -1;
};

/// Passes single connections from a worker to its agent on, and can hold back what the worker
/// sends, or reset a connection when its answer has arrived.
class channel
{
public:
    channel(const std::string& ip, int port) : ip_(ip), port_(port) {}

    /// Sends \p request after \p hold_back_ms, waits \p wait_ms for the status of the answer; 0 if
    /// there is none. The bytes arrive even if the caller gives up earlier, as those of a closed
    /// socket do behind a partition. With \p is_reset the answer is lost: the connection is reset
    /// as soon as the agent has answered.
    int call(const std::string& request, std::int64_t hold_back_ms, std::int64_t wait_ms,
             bool is_reset, const std::function<void(int)>& on_arrival)
    {
        struct shared_state
        {
            std::mutex mutex;
            int status = 0;
        };
        const auto state = std::make_shared<shared_state>();
        threads_.emplace_back(
            [=, this]
            {
                sleep_ms(hold_back_ms);
                const int status = exchange(request, is_reset);
                on_arrival(status);
                const std::lock_guard guard(state->mutex);
                state->status = is_reset ? 0 : status;
            });
        const auto until = clock::now() + milliseconds(wait_ms);
        while (clock::now() < until)
        {
            {
                const std::lock_guard guard(state->mutex);
                if (state->status != 0)
                {
                    return state->status;
                }
            }
            sleep_ms(1);
        }
        return 0;
    }
    void join()
    {
        for (auto& it : threads_)
        {
            it.join();
        }
        threads_.clear();
    }

private:
    int exchange(const std::string& request, bool is_reset) const
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port_));
        ::inet_pton(AF_INET, ip_.c_str(), &to.sin_addr);
        timeval limit = {2, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        int status = 0;
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
            ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size()))
        {
            char answer[512] = {};
            const auto n = ::recv(fd, answer, sizeof answer - 1, is_reset ? MSG_PEEK : 0);
            if (n > 12)
            {
                status = std::atoi(answer + 9);
            }
        }
        if (is_reset)
        {
            const linger now = {1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        ::close(fd);
        return status;
    }

    std::string ip_;
    int port_;
    std::vector<std::thread> threads_;
};

/// A worker by PROTOCOL.md: registers at the agent of its machine, guards no capacity, holds
/// leases, lists ends until they are acknowledged.
class worker
{
public:
    struct options
    {
        std::string id;
        std::string ip;
        std::int64_t cpu = 64000;
        std::int64_t run_ms = 900; ///< time of each task
        std::int64_t heartbeat_ms = 1500;
        std::string service = "service-a";
    };

    worker(options it, record& to, run_log& runs)
        : options_(std::move(it)), record_(to), runs_(runs), leaving_(options_.ip, control_port)
    {
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_tcp_nodelay(true);
        server_.new_task_queue = []
        {
            return new httplib::ThreadPool(20);
        };
        server_.Post("/savoryreach/run-start",
                     [this](const auto& in, auto& out) { start_run(in, out); });
        server_.Post("/savoryreach/run-stop",
                     [this](const auto& in, auto& out) { stop_run(in, out); });
        server_.Post("/savoryreach/hold", [this](const auto& in, auto& out) { hold(in, out); });
        server_.Get("/healthz", [](const auto&, auto& out) { out.status = 200; });
    }
    ~worker()
    {
        ending_ = true;
        if (serving_.joinable())
        {
            server_.stop();
            serving_.join();
            living_.join();
        }
        leaving_.join();
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    bool listen()
    {
        if (!server_.bind_to_port(options_.ip, worker_port))
        {
            return false;
        }
        serving_ = std::thread([this] { server_.listen_after_bind(); });
        living_ = std::thread([this] { live(); });
        return true;
    }

    /// Begins a lifetime under the worker's id.
    void begin_life()
    {
        const std::lock_guard guard(mutex_);
        runs_here_.clear();
        ends_.clear();
        highest_.clear();
        last_end_ = token_ = sequence_ = 0;
        lease_ms_ = 0;
        draining_ = false;
        born_ = clock::now();
        born_ms_ = unix_ms();
        up_ = true;
        beat_at_ = clock::now();
        record_.line("worker      " + options_.id + " begins, born " + std::to_string(born_ms_));
    }
    /// Ends the lifetime: everything that runs ends with it.
    void end_life()
    {
        const std::lock_guard guard(mutex_);
        for (const auto& [task, it] : runs_here_)
        {
            runs_.ended(it.log, "gone with its worker");
        }
        runs_here_.clear();
        up_ = false;
        record_.line("worker      " + options_.id + " born " + std::to_string(born_ms_) + " ends");
    }
    /// Reports at once that it drains. True when the agent has acknowledged it.
    bool drain()
    {
        {
            const std::lock_guard guard(mutex_);
            draining_ = true;
            beat_at_ = clock::now();
        }
        for (int n = 0; n < 200; ++n)
        {
            sleep_ms(10);
            const std::lock_guard guard(mutex_);
            if (draining_acknowledged_)
            {
                return true;
            }
        }
        return false;
    }
    /// Deregisters as at a planned end; the status of the answer, 0 for none within a second.
    int deregister(std::int64_t hold_back_ms, bool is_reset)
    {
        std::int64_t born = 0;
        {
            const std::lock_guard guard(mutex_);
            born = born_ms_;
        }
        Json::Value body;
        body["born"] = Json::Int64(born);
        const auto text = json_text(body);
        const auto request =
            "POST /savoryreach/instances/" + options_.id +
            "/deregister HTTP/1.1\r\nHost: " + options_.ip +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
            "\r\n\r\n" + text;
        record_.line("deregister  " + options_.id + " born " + std::to_string(born) + " is sent" +
                     (hold_back_ms > 0 ? " into a partition" : ""));
        const auto id = options_.id;
        const int status =
            leaving_.call(request, hold_back_ms, 1000, is_reset,
                          [this, id, born, is_reset](int answer)
                          {
                              record_.line("deregister  " + id + " born " + std::to_string(born) +
                                           " has arrived, answer " + std::to_string(answer) +
                                           (is_reset ? " lost with the reset channel" : ""));
                          });
        record_.line("deregister  " + options_.id + " acknowledgement: " +
                     (status == 0 ? "none within 1 s" : std::to_string(status)));
        return status;
    }
    [[nodiscard]] std::size_t run_count()
    {
        const std::lock_guard guard(mutex_);
        return runs_here_.size();
    }
    [[nodiscard]] const std::string& id() const { return options_.id; }

private:
    struct active_run
    {
        std::uint32_t attempt = 0;
        clock::time_point began;
        clock::time_point ends;
        std::size_t log = 0;
    };
    struct end_row
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(clock::now() - born_).count() + 1000;
    }
    void extend(std::int64_t expires_ms)
    {
        lease_ms_ = std::max(lease_ms_, std::min(expires_ms, clock_ms() + hold_max_ms));
    }
    void answer(httplib::Response& out, int status, Json::Value body = Json::objectValue) const
    {
        body["clockMs"] = Json::Int64(clock_ms());
        body["born"] = Json::Int64(born_ms_);
        out.status = status;
        out.set_content(json_text(body), "application/json");
    }
    void reject(httplib::Response& out, const char* reason) const
    {
        Json::Value body;
        body["reason"] = reason;
        answer(out, 409, body);
    }
    /// While the worker is down nobody answers: true when the caller has given up.
    bool is_silent(httplib::Response& out)
    {
        {
            const std::lock_guard guard(mutex_);
            if (up_)
            {
                return false;
            }
        }
        stay_silent(out);
        return true;
    }
    static void stay_silent(httplib::Response& out)
    {
        sleep_ms(450);
        out.status = 500;
    }
    bool admit(const httplib::Request& in, const Json::Value& body, httplib::Response& out)
    {
        if (!up_)
        {
            out.status = 500;
            return false;
        }
        const auto wanted = in.get_header_value("X-Savoryreach-Expect-Instance");
        if (!wanted.empty() && wanted != options_.id)
        {
            answer(out, 421);
            return false;
        }
        const auto token = body["fencingToken"].asUInt64();
        if (token < token_)
        {
            reject(out, "fence");
            return false;
        }
        token_ = token;
        return true;
    }
    void finish(const std::string& task, const std::string& how)
    {
        const auto it = runs_here_.at(task);
        runs_here_.erase(task);
        runs_.ended(it.log, how);
        highest_[task] = std::max(highest_[task], it.attempt);
        ends_.push_back({++last_end_, task, it.attempt, how});
    }
    void start_run(const httplib::Request& in, httplib::Response& out)
    {
        if (is_silent(out))
        {
            return;
        }
        const auto body = read_json(in.body);
        const std::lock_guard guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        const auto task = body["task"].asString();
        const auto attempt = body["attempt"].asUInt();
        if (body["expiresMs"].asInt64() < clock_ms())
        {
            reject(out, "late");
            return;
        }
        extend(body["expiresMs"].asInt64());
        if (const auto it = runs_here_.find(task); it != runs_here_.end())
        {
            it->second.attempt == attempt ? answer(out, 200) : reject(out, "old");
            return;
        }
        if (const auto it = highest_.find(task); it != highest_.end() && attempt <= it->second)
        {
            reject(out, "old");
            return;
        }
        const auto now = clock::now();
        runs_here_[task] = {attempt, now, now + milliseconds(options_.run_ms),
                            runs_.began(task, attempt, options_.id)};
        answer(out, 200);
    }
    void stop_run(const httplib::Request& in, httplib::Response& out)
    {
        if (is_silent(out))
        {
            return;
        }
        const auto body = read_json(in.body);
        const std::lock_guard guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        const auto task = body["task"].asString();
        auto& highest = highest_[task];
        highest = std::max(highest, body["attempt"].asUInt());
        if (const auto it = runs_here_.find(task);
            it != runs_here_.end() && it->second.attempt <= body["attempt"].asUInt())
        {
            finish(task, "stopped");
        }
        answer(out, 200);
    }
    void hold(const httplib::Request& in, httplib::Response& out)
    {
        if (is_silent(out))
        {
            return;
        }
        const auto body = read_json(in.body);
        const auto until =
            clock::now() + milliseconds(std::min<std::int64_t>(body["waitMs"].asInt64(), 2000));
        std::unique_lock guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        if (body.isMember("expiresMs"))
        {
            extend(body["expiresMs"].asInt64());
        }
        std::erase_if(ends_,
                      [&](const end_row& it) { return it.number <= body["ackCursor"].asUInt64(); });
        while (ends_.empty() && clock::now() < until && !ending_ && up_)
        {
            guard.unlock();
            sleep_ms(2);
            guard.lock();
        }
        if (!up_)
        {
            guard.unlock();
            stay_silent(out);
            return;
        }
        Json::Value rows(Json::objectValue);
        rows["running"] = rows["finished"] = Json::arrayValue;
        const auto now = clock::now();
        for (const auto& [task, it] : runs_here_)
        {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(it.attempt);
            row.append("");
            row.append(Json::Int64(100 * (now - it.began) / (it.ends - it.began)));
            rows["running"].append(row);
        }
        for (const auto& it : ends_)
        {
            Json::Value row(Json::arrayValue);
            row.append(Json::UInt64(it.number));
            row.append(it.task);
            row.append(it.attempt);
            row.append(it.how);
            row.append("");
            rows["finished"].append(row);
        }
        answer(out, 200, rows);
    }

    /// Ends runs in time, lets leases lapse, sends heartbeats.
    void live()
    {
        std::unique_ptr<httplib::Client> agent;
        std::int64_t agent_born = 0;
        while (!ending_)
        {
            sleep_ms(2);
            std::string path;
            Json::Value beat;
            bool drains = false;
            {
                const std::lock_guard guard(mutex_);
                if (!up_)
                {
                    continue;
                }
                const auto now = clock::now();
                const auto runs = runs_here_;
                for (const auto& [task, it] : runs)
                {
                    if (now >= it.ends)
                    {
                        finish(task, "done");
                    }
                    else if (clock_ms() > lease_ms_)
                    {
                        finish(task, "lapsed");
                    }
                }
                if (now < beat_at_)
                {
                    continue;
                }
                beat_at_ = now + milliseconds(options_.heartbeat_ms);
                path = "/savoryreach/instances/" + options_.id + "/heartbeat";
                drains = draining_;
                beat["born"] = Json::Int64(born_ms_);
                beat["service"] = options_.service;
                beat["address"] = options_.ip + ":" + std::to_string(worker_port);
                beat["zone"] = "z1";
                beat["version"] = "v1";
                beat["slots"] = 8;
                beat["state"] = drains ? "draining" : "ready";
                beat["coldRemainingMs"] = 0;
                beat["seq"] = Json::UInt64(++sequence_);
                beat["clockMs"] = Json::Int64(clock_ms());
                beat["capacity"]["cpu"] = Json::Int64(options_.cpu);
                beat["capacity"]["memMb"] = 262144;
                beat["capacity"]["gpu"] = 0;
                beat["labels"].append("a");
                beat["labels"].append("r1-1");
            }
            if (!agent || agent_born != beat["born"].asInt64())
            {
                // A new lifetime has channels of its own.
                agent = std::make_unique<httplib::Client>(options_.ip, control_port);
                agent->set_connection_timeout(1, 0);
                agent->set_read_timeout(1, 0);
                agent_born = beat["born"].asInt64();
            }
            const auto reply = agent->Post(path, json_text(beat), "application/json");
            const bool acknowledged = reply && reply->status / 100 == 2;
            const std::lock_guard guard(mutex_);
            if (acknowledged && drains && !draining_acknowledged_)
            {
                draining_acknowledged_ = true;
                record_.line("heartbeat   " + options_.id + " draining is acknowledged");
            }
            if (!acknowledged)
            {
                beat_at_ = clock::now() + milliseconds(100);
            }
        }
    }

    options options_;
    record& record_;
    run_log& runs_;
    std::mutex mutex_;
    bool up_ = false;
    bool draining_ = false;
    bool draining_acknowledged_ = false;
    clock::time_point born_ = clock::now();
    std::int64_t born_ms_ = 0;
    clock::time_point beat_at_ = clock::now();
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, active_run> runs_here_;
    std::map<std::string, std::uint32_t> highest_;
    std::vector<end_row> ends_;
    std::atomic<bool> ending_ = false;
    httplib::Server server_;
    std::thread serving_;
    std::thread living_;
    channel leaving_;
};

struct job_step
{
    int count = 1;
    std::int64_t cpu = 6200;
    std::int64_t estimated_ms = 900;
    std::vector<int> depends_on;
};

/// The deployment: core hosts, further hosts for clients, side machines.
class fleet
{
public:
    fleet(record& to, int core, int diskless, int sides)
        : record_(to), folder_(make_folder()), network_(own_network())
    {
        for (int n = 0; n < core; ++n)
        {
            seeds_.append(ip_of(first_front + n) + ":" + std::to_string(control_port));
        }
        for (int n = 0; n < core + diskless; ++n)
        {
            fronts_.push_back(
                make("front", "edge-" + std::to_string(n + 1), ip_of(first_front + n), n < core));
        }
        for (int n = 0; n < sides; ++n)
        {
            agents_.push_back(
                make("agent", "side-" + std::to_string(n + 1), ip_of(first_side + n), false));
        }
    }
    ~fleet()
    {
        fronts_.clear();
        agents_.clear();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code ec;
            fs::remove_all(folder_, ec);
        }
    }

    void start()
    {
        for (auto* all : {&fronts_, &agents_})
        {
            for (auto& it : *all)
            {
                it->start(true);
            }
        }
    }
    [[nodiscard]] bool wait_ready(std::int64_t patience_ms = 15000)
    {
        return wait(
            patience_ms, [this]
            { return std::ranges::all_of(fronts_, [](auto& it) { return it->is_ready(); }); });
    }
    template <typename Condition>
    static bool wait(std::int64_t patience_ms, Condition done)
    {
        const auto until = clock::now() + milliseconds(patience_ms);
        while (!done())
        {
            if (clock::now() > until)
            {
                return false;
            }
            sleep_ms(20);
        }
        return true;
    }
    /// The process that acts as the dispatcher; null if there is none.
    [[nodiscard]] process* leader()
    {
        for (auto& it : fronts_)
        {
            if (it->leads())
            {
                return it.get();
            }
        }
        return nullptr;
    }
    [[nodiscard]] process& front(std::size_t n) { return *fronts_.at(n); }
    [[nodiscard]] process& agent(std::size_t n) { return *agents_.at(n); }
    [[nodiscard]] std::string ip_of(int n) const { return network_ + "." + std::to_string(n); }
    [[nodiscard]] const fs::path& folder() const { return folder_; }

    /// Sends a desired state with one queue until it is acknowledged.
    bool configure(std::uint64_t version)
    {
        Json::Value it;
        it["version"] = Json::UInt64(version);
        Json::Value route;
        route["name"] = "r-1";
        route["host"] = "one.example";
        route["pathPrefix"] = "/jobs/";
        route["kind"] = "non_idempotent";
        route["timeoutMs"] = 20000;
        route["targetRuntimeMs"] = 60;
        route["priority"] = 0;
        route["service"] = "service-a";
        route["maxAttempts"] = 4;
        route["slackFactor"] = 1.6;
        it["routes"].append(route);
        Json::Value service;
        service["name"] = "service-a";
        service["healthPath"] = "/healthz";
        service["maxConns"] = 64;
        service["protocol"] = "h1";
        service["tls"] = false;
        service["enforceCapacity"] = false;
        service["standby"] = false;
        it["services"].append(service);
        it["limits"]["maxHeaderBytes"] = 16384;
        it["limits"]["maxBodyBytes"] = 262144;
        it["limits"]["headerTimeoutMs"] = 3000;
        it["limits"]["idleTimeoutMs"] = 15000;
        return wait(10000,
                    [&]
                    {
                        httplib::Client to(front(0).ip(), control_port);
                        to.set_read_timeout(1, 0);
                        const auto reply = to.Post("/savoryreach/config/replace", json_text(it),
                                                   "application/json");
                        record_.line("config      version " + std::to_string(version) + " answer " +
                                     std::to_string(reply ? reply->status : 0));
                        return reply && reply->status == 200;
                    });
    }

    /// Hands in a best-effort job and waits for its end; the status, 0 for no answer.
    int post_job(const process& at, const std::string& id, const std::vector<job_step>& steps,
                 std::int64_t deadline_ms, std::string* state = nullptr)
    {
        Json::Value body;
        body["spec"] = "work of " + id;
        body["bestEffort"] = true;
        for (const auto& it : steps)
        {
            Json::Value step;
            step["count"] = it.count;
            step["cpu"] = Json::Int64(it.cpu);
            step["memMb"] = 64;
            step["estimatedMs"] = Json::Int64(it.estimated_ms);
            for (const int n : it.depends_on)
            {
                step["dependsOn"].append(n);
            }
            body["steps"].append(step);
        }
        record_.line("POST        " + id + " at " + at.name());
        httplib::Client to(at.ip(), client_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(deadline_ms / 1000, (deadline_ms % 1000) * 1000);
        const httplib::Headers headers{{"Host", "one.example"},
                                       {"X-Savoryreach-Deadline-Ms", std::to_string(deadline_ms)}};
        const auto reply = to.Post("/jobs/" + id, headers, json_text(body), "application/json");
        const int status = reply ? reply->status : 0;
        if (state != nullptr && reply)
        {
            *state = read_json(reply->body)["state"].asString();
        }
        record_.line("POST        " + id + " at " + at.name() + " answer " +
                     std::to_string(status) + (reply ? " " + reply->body : ""));
        return status;
    }
    /// Cancels a job at one host; the status, 0 for no answer.
    int cancel_job(const process& at, const std::string& id, std::int64_t deadline_ms)
    {
        record_.line("DELETE      " + id + " at " + at.name());
        httplib::Client to(at.ip(), client_port);
        to.set_connection_timeout(1, 0);
        to.set_read_timeout(deadline_ms / 1000, (deadline_ms % 1000) * 1000);
        const httplib::Headers headers{{"Host", "one.example"},
                                       {"X-Savoryreach-Deadline-Ms", std::to_string(deadline_ms)}};
        const auto reply = to.Delete("/jobs/" + id, headers);
        const int status = reply ? reply->status : 0;
        record_.line("DELETE      " + id + " at " + at.name() + " answer " +
                     std::to_string(status));
        return status;
    }

private:
    static fs::path make_folder()
    {
        std::string name = (fs::temp_directory_path() / "savoryreach-review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
        {
            std::perror("mkdtemp");
            std::_Exit(2);
        }
        return name;
    }
    /// A loopback network whose ports nobody uses.
    static std::string own_network()
    {
        for (int n = 0; n < 100; ++n)
        {
            const auto seed =
                static_cast<unsigned>(::getpid()) * 7U + static_cast<unsigned>(n) * 31U;
            const auto out = "127." + std::to_string(20 + seed % 200) + "." +
                             std::to_string(1 + seed / 200 % 250);
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at = {};
            at.sin_family = AF_INET;
            at.sin_port = htons(control_port);
            ::inet_pton(AF_INET, (out + ".10").c_str(), &at.sin_addr);
            const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            ::close(fd);
            if (is_free)
            {
                return out;
            }
        }
        std::_Exit(2);
    }
    std::unique_ptr<process> make(const std::string& role, const std::string& name,
                                  const std::string& ip, bool has_disk)
    {
        const auto at = [&ip](int port)
        {
            return ip + ":" + std::to_string(port);
        };
        Json::Value it;
        it["nodeName"] = name;
        it["role"] = role;
        it["machineClass"] = role == "front" ? "edge" : "side";
        it["ip"] = ip;
        it["zone"] = "z1";
        it["region"] = "r1";
        it["zones"]["z1"] = "r1";
        it["internalPorts"].append(internal_port);
        it["internalPorts"].append(internal_port + 15);
        it["seeds"] = seeds_;
        it["faultCounted"] = has_disk;
        it["limits"]["memoryMb"] = role == "front" ? 260 : 128;
        it["heartbeatMs"] = 1500;
        it["faultTolerance"]["machines"] = 1;
        it["faultTolerance"]["zones"] = 0;
        it["faultTolerance"]["regions"] = 0;
        it["commandMode"] = "invoke";
        auto& bounds = it["bounds"];
        bounds["seedLagS"] = 3;
        bounds["reuseAfterS"] = 2;
        bounds["contactMs"] = Json::Int64(contact_ms);
        bounds["ackMs"] = 4000;
        bounds["catchUpS"] = 4;
        bounds["drainMs"] = Json::Int64(drain_ms);
        bounds["graceS"] = 6;
        bounds["lossSlackMs"] = 200;
        bounds["configApplyMs"] = 2000;
        bounds["recoveryS"] = 12;
        bounds["holdMaxMs"] = Json::Int64(hold_max_ms);
        bounds["stopTimeoutMs"] = Json::Int64(stop_timeout_ms);
        bounds["cancel_ms"] = Json::Int64(cancel_ms);
        bounds["visible_ms"] = 3000;
        bounds["remoteFactor"] = 1.5;
        bounds["retryDelayMs"] = Json::Int64(retry_delay_ms);
        it["listenAddrs"]["controlPlane"] = at(control_port);
        if (role == "front")
        {
            it["listenAddrs"]["frontend"] = at(client_port);
            it["listenAddrs"]["ready"] = at(ready_port);
        }
        else
        {
            it["app"] = at(worker_port);
        }
        if (has_disk)
        {
            it["dataDir"] = (folder_ / (name + "-data")).string();
        }
        return std::make_unique<process>(role, name, folder_, it, record_);
    }

    record& record_;
    fs::path folder_;
    std::string network_;
    Json::Value seeds_{Json::arrayValue};
    std::vector<std::unique_ptr<process>> fronts_;
    std::vector<std::unique_ptr<process>> agents_;
};

inline std::string job_id(std::uint64_t number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL + number));
    return id;
}

/// False for a run without the disruption.
inline bool has_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

/// Exit code of a case.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int not_run = 2;

} // namespace review

#endif
