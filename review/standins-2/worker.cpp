// Stand-in of a worker (an endpoint, in the words of the project): one life of one machine, as a
// process of its own, so that it can be killed. It keeps to PROTOCOL.md, "Running tasks" and
// "Service discovery", and appends a line to the log for each start and end.
//
// worker LOG NAME ID IP:PORT CONTROL_IP:PORT SERVICE ZONE CPU_MILLI RACK ANSWER_MS
//
// Each answer takes ANSWER_MS, as zones and loads differ.
//
// On SIGTERM it drains: it reports `draining`, goes on for DRAIN_MS after the ack, says that it
// leaves and ends, some time later if nobody acknowledges that.
//
// A task whose spec is "work_ms=N" works for N milliseconds.

#include "clock.hpp"

#include <httplib.h>
#include <json/json.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

constexpr std::int64_t longest_lease_ms = 1000;
constexpr std::size_t max_listed_ends = 500;
constexpr std::int64_t heartbeat_ms = 1500;
constexpr int drain_ms = 2200; // drainMs and a little longer
constexpr std::time_t unacknowledged_end_us = 999'000;

std::atomic<bool> draining = false;

struct run
{
    unsigned attempt = 0;
    double began = 0.0;
    double work_ms = 0.0;
    int cpu_milli = 0;
};

struct ended_run
{
    std::uint64_t number = 0;
    std::string task;
    unsigned attempt = 0;
    std::string how;
};

std::string to_line(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Json::Value to_json(const std::string& text)
{
    Json::Value out(Json::objectValue);
    Json::Reader().parse(text, out);
    return out;
}

class worker
{
public:
    worker(char** arguments)
        : log_(::open(arguments[1], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644)),
          name_(arguments[2]), id_(arguments[3]), address_(arguments[4]), control_(arguments[5]),
          service_(arguments[6]), zone_(arguments[7]), cpu_milli_(std::atoi(arguments[8])),
          rack_(arguments[9]), answer_ms_(std::atof(arguments[10])),
          born_unix_ms_(review::unix_ms()), began_(review::now_ms())
    {
    }

    int serve()
    {
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_tcp_nodelay(true);
        server_.new_task_queue = []
        {
            return new httplib::ThreadPool(24);
        };
        server_.Post("/savoryreach/run-start",
                     [this](const auto& in, auto& out)
                     {
                         start(in, out);
                         travel();
                     });
        server_.Post("/savoryreach/run-stop",
                     [this](const auto& in, auto& out)
                     {
                         stop(in, out);
                         travel();
                     });
        server_.Post("/savoryreach/hold",
                     [this](const auto& in, auto& out)
                     {
                         hold(in, out);
                         travel();
                     });
        server_.Get("/healthz", [](const auto&, auto& out) { out.status = 200; });
        const auto colon = address_.find(':');
        if (!server_.bind_to_port(address_.substr(0, colon),
                                  std::atoi(address_.c_str() + colon + 1)))
        {
            return 2;
        }
        write("life", id_, 0, "cpu=" + std::to_string(cpu_milli_));
        std::thread([this] { end_runs(); }).detach();
        std::thread([this] { send_heartbeats(); }).detach();
        server_.listen_after_bind();
        return 0;
    }

private:
    void write(const std::string& event, const std::string& task, unsigned attempt,
               const std::string& detail = {}) const
    {
        char line[512];
        const int n = std::snprintf(line, sizeof line, "%.3f %s %s %s %u %s\n", review::now_ms(),
                                    name_.c_str(), event.c_str(), task.c_str(), attempt,
                                    detail.empty() ? "-" : detail.c_str());
        if (::write(log_, line, static_cast<std::size_t>(n)) != n)
        {
            std::abort();
        }
    }
    [[nodiscard]] std::int64_t clock_ms() const
    {
        return static_cast<std::int64_t>(review::now_ms() - began_) + 1;
    }
    void extend(std::int64_t expires_ms)
    {
        lease_ms_ = std::max(lease_ms_, std::min(expires_ms, clock_ms() + longest_lease_ms));
    }
    void answer(httplib::Response& out, int status, Json::Value body = Json::objectValue) const
    {
        body["clockMs"] = Json::Int64(clock_ms());
        out.status = status;
        out.set_content(to_line(body), "application/json");
    }
    void travel() const
    {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(answer_ms_));
    }
    void reject(httplib::Response& out, const char* reason) const
    {
        Json::Value body;
        body["reason"] = reason;
        answer(out, 409, body);
    }
    bool admit(const httplib::Request& in, const Json::Value& body, httplib::Response& out)
    {
        const auto wanted = in.get_header_value("X-Savoryreach-Expect-Instance");
        if (!wanted.empty() && wanted != id_)
        {
            answer(out, 421);
            return false;
        }
        if (body["fencingToken"].asUInt64() < token_)
        {
            reject(out, "fence");
            return false;
        }
        token_ = body["fencingToken"].asUInt64();
        return true;
    }
    void finish(const std::string& task, const std::string& how)
    {
        const auto attempt = runs_.at(task).attempt;
        runs_.erase(task);
        write("end", task, attempt, how);
        highest_[task] = std::max(highest_[task], attempt);
        ends_.push_back({++last_end_, task, attempt, how});
    }

    void start(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = to_json(in.body);
        const std::lock_guard guard(mutex_);
        const auto task = body["task"].asString();
        const auto attempt = body["attempt"].asUInt();
        if (!admit(in, body, out))
        {
            return;
        }
        const auto expires_ms = body["expiresMs"].asInt64();
        if (expires_ms < clock_ms())
        {
            reject(out, "late");
            return;
        }
        extend(expires_ms);
        if (const auto it = runs_.find(task); it != runs_.end())
        {
            it->second.attempt == attempt ? answer(out, 200) : reject(out, "old");
            return;
        }
        if (const auto it = highest_.find(task); it != highest_.end() && attempt <= it->second)
        {
            reject(out, "old");
            return;
        }
        const auto spec = body["spec"].asString();
        const auto at = spec.find("work_ms=");
        const auto cores = spec.find("cpu=");
        run added{attempt, review::now_ms(),
                  at == std::string::npos ? 60.0 : std::atof(spec.c_str() + at + 8),
                  cores == std::string::npos ? 6200 : std::atoi(spec.c_str() + cores + 4)};
        runs_[task] = added;
        int used = 0;
        for (const auto& [name, it] : runs_)
        {
            used += it.cpu_milli;
        }
        write("start", task, attempt,
              "used=" + std::to_string(used) + ",of=" + std::to_string(cpu_milli_));
        answer(out, 200);
    }
    void stop(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = to_json(in.body);
        const std::lock_guard guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        const auto task = body["task"].asString();
        const auto attempt = body["attempt"].asUInt();
        highest_[task] = std::max(highest_[task], attempt);
        if (const auto it = runs_.find(task); it != runs_.end() && it->second.attempt <= attempt)
        {
            finish(task, "stopped");
        }
        answer(out, 200);
    }
    void hold(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = to_json(in.body);
        const auto until =
            review::now_ms() +
            static_cast<double>(std::min<std::int64_t>(body["waitMs"].asInt64(), 2000));
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
                      [&](const auto& it) { return it.number <= body["ackCursor"].asUInt64(); });
        while (ends_.empty() && review::now_ms() < until)
        {
            guard.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            guard.lock();
        }
        Json::Value rows(Json::objectValue);
        rows["running"] = rows["finished"] = Json::arrayValue;
        rows["born"] = Json::Int64(born_unix_ms_);
        const auto now = review::now_ms();
        for (const auto& [task, it] : runs_)
        {
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(it.attempt);
            row.append("");
            row.append(static_cast<int>(std::min(99.0, 100.0 * (now - it.began) / it.work_ms)));
            row.append(it.cpu_milli);
            rows["running"].append(row);
        }
        for (std::size_t n = 0; n < ends_.size() && n < max_listed_ends; ++n)
        {
            Json::Value row(Json::arrayValue);
            row.append(Json::UInt64(ends_[n].number));
            row.append(ends_[n].task);
            row.append(ends_[n].attempt);
            row.append(ends_[n].how);
            row.append("");
            rows["finished"].append(row);
        }
        answer(out, 200, rows);
    }

    void end_runs()
    {
        for (;;)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            const std::lock_guard guard(mutex_);
            const auto now = review::now_ms();
            const auto runs = runs_;
            for (const auto& [task, it] : runs)
            {
                if (clock_ms() > lease_ms_)
                {
                    finish(task, "lapsed");
                }
                else if (now >= it.began + it.work_ms)
                {
                    finish(task, "done");
                }
            }
        }
    }
    void send_heartbeats()
    {
        const auto colon = control_.find(':');
        const auto ip = control_.substr(0, colon);
        for (;;)
        {
            Json::Value beat;
            {
                const std::lock_guard guard(mutex_);
                beat["born"] = Json::Int64(born_unix_ms_);
                beat["service"] = service_;
                beat["address"] = address_;
                beat["zone"] = zone_;
                beat["version"] = "v1";
                beat["slots"] = 8;
                beat["state"] = draining ? "draining" : "ready";
                beat["coldRemainingMs"] = 0;
                beat["seq"] = Json::UInt64(++sequence_);
                beat["clockMs"] = Json::Int64(clock_ms());
                beat["capacity"]["cpu"] = cpu_milli_;
                beat["capacity"]["memMb"] = 262144;
                beat["capacity"]["gpu"] = 0;
                beat["labels"].append("a");
                beat["labels"].append(rack_);
            }
            httplib::Client agent(ip, std::atoi(control_.c_str() + colon + 1));
            agent.set_connection_timeout(1, 0);
            agent.set_read_timeout(1, 0);
            const auto reply = agent.Post("/savoryreach/instances/" + id_ + "/heartbeat",
                                          to_line(beat), "application/json");
            const bool acknowledged = reply && reply->status / 100 == 2;
            if (sequence_ == 1 || !acknowledged || std::getenv("LOG_REPORTS") != nullptr)
            {
                write(acknowledged ? "heartbeat_acknowledged" : "heartbeat_failed", id_, 0);
            }
            if (acknowledged && beat["state"] == "draining")
            {
                leave(ip, std::atoi(control_.c_str() + colon + 1));
            }
            const auto next = review::now_ms() + (acknowledged ? heartbeat_ms : heartbeat_ms / 5);
            while (review::now_ms() < next && !draining)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
    }

    [[noreturn]] void leave(const std::string& ip, int port)
    {
        write("draining_acknowledged", id_, 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(drain_ms));
        httplib::Client agent(ip, port);
        agent.set_connection_timeout(1, 0);
        agent.set_read_timeout(0, unacknowledged_end_us);
        Json::Value body;
        body["born"] = Json::Int64(born_unix_ms_);
        write("deregister_sent", id_, 0);
        const auto reply = agent.Post("/savoryreach/instances/" + id_ + "/deregister",
                                      to_line(body), "application/json");
        const std::lock_guard guard(mutex_);
        const auto runs = runs_;
        for (const auto& [task, it] : runs)
        {
            finish(task, "stopped");
        }
        write(reply ? "left_acknowledged" : "left_unacknowledged", id_, 0);
        std::_Exit(0);
    }

    int log_;
    std::string name_;
    std::string id_;
    std::string address_;
    std::string control_;
    std::string service_;
    std::string zone_;
    int cpu_milli_;
    std::string rack_;
    double answer_ms_;
    std::int64_t born_unix_ms_;
    double began_;
    httplib::Server server_;
    std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, unsigned> highest_;
    std::vector<ended_run> ends_;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int expected_arguments = 11;
    if (argc != expected_arguments)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { draining = true; });
    return worker(argv).serve();
}
