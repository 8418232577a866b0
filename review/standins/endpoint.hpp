#ifndef SAVORYREACH_REVIEW_STANDINS_ENDPOINT_HPP
#define SAVORYREACH_REVIEW_STANDINS_ENDPOINT_HPP

#include "record.hpp"

#include <httplib.h>
#include <json/json.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace savoryreach::review
{

/// An endpoint by PROTOCOL.md: leases, runs, ends, status reports. The `spec` of a job is the
/// length of its tasks in milliseconds.
class endpoint
{
public:
    static constexpr int port = 8165;
    static constexpr int control_port = 8166;
    static constexpr int cpu_milli = 64000;
    static constexpr int task_cpu_milli = 6200;
    static constexpr std::int64_t longest_lease_ms = 1000;
    static constexpr int report_interval_ms = 1500;

    endpoint(std::string ip, int number, std::string service, record& log)
        : ip_(std::move(ip)), service_(std::move(service)),
          id_("i-7f3a91c" + std::to_string(number)), record_(log)
    {
        server_.set_keep_alive_max_count(1'000'000);
        server_.new_task_queue = []
        {
            return new httplib::ThreadPool(20);
        };
        server_.Post("/savoryreach/run-start",
                     [this](const auto& in, auto& out) { start(in, out); });
        server_.Post("/savoryreach/run-stop", [this](const auto& in, auto& out) { stop(in, out); });
        server_.Post("/savoryreach/hold", [this](const auto& in, auto& out) { hold(in, out); });
        server_.bind_to_port(ip_, port);
        serving_ = std::thread([this] { server_.listen_after_bind(); });
        living_ = std::thread([this] { live(); });
        reporting_ = std::thread([this] { report(); });
    }
    ~endpoint()
    {
        ending_ = true;
        server_.stop();
        serving_.join();
        living_.join();
        reporting_.join();
    }
    endpoint(const endpoint&) = delete;
    endpoint& operator=(const endpoint&) = delete;

private:
    struct run
    {
        std::uint32_t attempt = 0;
        std::int64_t began_ms = 0;
        std::int64_t ends_ms = 0;
    };
    struct end_row
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
    };

    [[nodiscard]] std::int64_t clock_ms() const { return now_ms() - started_ms_ + 1; }

    void answer(httplib::Response& out, int status, Json::Value body = Json::objectValue) const
    {
        body["clockMs"] = Json::Int64(clock_ms());
        body["born"] = Json::Int64(born_ms_);
        out.status = status;
        out.set_content(to_text(body), "application/json");
    }
    void reject(httplib::Response& out, const char* reason) const
    {
        Json::Value body;
        body["reason"] = reason;
        answer(out, 409, body);
    }
    /// False, with the answer, for a call to another lifetime or under an old generation number.
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
    void extend_lease(std::int64_t expires_ms)
    {
        lease_ms_ = std::max(lease_ms_, std::min(expires_ms, clock_ms() + longest_lease_ms));
    }
    void finish(const std::string& task, const std::string& how)
    {
        const auto attempt = runs_.at(task).attempt;
        runs_.erase(task);
        record_.add("endpoint " + id_ + " ends " + task + " run " + std::to_string(attempt) + ": " +
                    how);
        record_.ended(task);
        highest_[task] = std::max(highest_[task], attempt);
        ends_.push_back({++last_end_, task, attempt, how});
    }

    void start(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = parse(in.body);
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
        extend_lease(body["expiresMs"].asInt64());
        const auto known = runs_.find(task);
        if (known != runs_.end() && known->second.attempt == attempt)
        {
            answer(out, 200);
            return;
        }
        const auto highest = highest_.find(task);
        if (known != runs_.end() || (highest != highest_.end() && attempt <= highest->second))
        {
            reject(out, "old");
            return;
        }
        const auto length = std::strtoll(body["spec"].asCString(), nullptr, 10);
        runs_[task] = {attempt, clock_ms(), clock_ms() + length};
        record_.add("endpoint " + id_ + " starts " + task + " run " + std::to_string(attempt));
        record_.began(task, id_);
        answer(out, 200);
    }
    void stop(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = parse(in.body);
        const std::lock_guard guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        const auto task = body["task"].asString();
        auto& highest = highest_[task];
        highest = std::max(highest, body["attempt"].asUInt());
        const auto it = runs_.find(task);
        if (it != runs_.end() && it->second.attempt <= body["attempt"].asUInt())
        {
            finish(task, "stopped");
        }
        answer(out, 200);
    }
    void hold(const httplib::Request& in, httplib::Response& out)
    {
        const auto body = parse(in.body);
        const auto until = now_ms() + body["waitMs"].asInt64();
        std::unique_lock guard(mutex_);
        if (!admit(in, body, out))
        {
            return;
        }
        if (body.isMember("expiresMs"))
        {
            extend_lease(body["expiresMs"].asInt64());
        }
        std::erase_if(ends_, [&body](const end_row& it)
                      { return it.number <= body["ackCursor"].asUInt64(); });
        while (ends_.empty() && now_ms() < until && !ending_)
        {
            guard.unlock();
            pause_ms(2);
            guard.lock();
        }
        answer(out, 200, lists());
    }
    [[nodiscard]] Json::Value lists() const
    {
        Json::Value out(Json::objectValue);
        out["running"] = out["finished"] = Json::arrayValue;
        for (const auto& [task, it] : runs_)
        {
            const auto length = std::max<std::int64_t>(it.ends_ms - it.began_ms, 1);
            Json::Value row(Json::arrayValue);
            row.append(task);
            row.append(it.attempt);
            row.append("");
            row.append(Json::Int64(100 * (clock_ms() - it.began_ms) / length));
            out["running"].append(row);
        }
        for (const auto& it : ends_)
        {
            Json::Value row(Json::arrayValue);
            row.append(Json::UInt64(it.number));
            row.append(it.task);
            row.append(it.attempt);
            row.append(it.how);
            row.append("");
            out["finished"].append(row);
        }
        return out;
    }

    /// Ends runs when they are done or when the lease has expired.
    void live()
    {
        while (!ending_)
        {
            pause_ms(2);
            const std::lock_guard guard(mutex_);
            const auto runs = runs_;
            for (const auto& [task, it] : runs)
            {
                if (clock_ms() > lease_ms_)
                {
                    finish(task, "lapsed");
                }
                else if (clock_ms() >= it.ends_ms)
                {
                    finish(task, "done");
                }
            }
        }
    }
    void report()
    {
        std::int64_t sequence = 0;
        auto due_ms = now_ms();
        while (!ending_)
        {
            pause_ms(10);
            if (now_ms() < due_ms)
            {
                continue;
            }
            Json::Value body;
            body["service"] = service_;
            body["address"] = ip_ + ":" + std::to_string(port);
            body["zone"] = "ljubljana";
            body["version"] = "v1";
            body["slots"] = 8;
            body["state"] = "ready";
            body["coldRemainingMs"] = 0;
            body["capacity"]["cpu"] = cpu_milli;
            body["capacity"]["memMb"] = 262144;
            body["capacity"]["gpu"] = 0;
            body["labels"].append("a");
            body["labels"].append("r1-1");
            body["clockMs"] = Json::Int64(clock_ms());
            body["seq"] = Json::Int64(++sequence);
            body["born"] = Json::Int64(born_ms_);
            httplib::Client agent(ip_, control_port);
            agent.set_connection_timeout(1, 0);
            agent.set_read_timeout(1, 0);
            const auto reply = agent.Post("/savoryreach/instances/" + id_ + "/heartbeat",
                                          to_text(body), "application/json");
            due_ms = now_ms() + (reply && reply->status == 200 ? report_interval_ms : 200);
        }
    }

    std::string ip_;
    std::string service_;
    std::string id_;
    record& record_;
    std::mutex mutex_;
    std::int64_t started_ms_ = now_ms();
    std::int64_t born_ms_ = wall_ms();
    std::uint64_t token_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, std::uint32_t> highest_;
    std::vector<end_row> ends_;
    std::atomic<bool> ending_ = false;
    httplib::Server server_;
    std::thread serving_;
    std::thread living_;
    std::thread reporting_;
};

} // namespace savoryreach::review

#endif
