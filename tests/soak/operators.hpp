#ifndef SAVORYREACH_TESTS_SOAK_OPERATORS_HPP
#define SAVORYREACH_TESTS_SOAK_OPERATORS_HPP

#include "savoryreach/base/json_line.hpp"
#include "tests/soak/configuration_watch.hpp"
#include "tests/soak/deployment.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryreach::soak
{

inline constexpr const char* soak_host = "soak.example";
inline constexpr const char* lasting_queue = "/jobs/";

/// One configuration and the prefixes of its queues.
struct sent_configuration
{
    std::int64_t version = 0;
    std::string body;
    std::set<std::string> prefixes;
};

/// Operators that change the configuration, send it again after unclear answers and send invalid
/// ones, and readers that ask every front for the configuration and its queues.
class operators
{
public:
    operators(const deployment& fleet, configuration_watch& seen, std::uint64_t seed)
        : fleet_(fleet), watch_(seen)
    {
        for (int n = 0; n < 2; ++n)
        {
            threads_.emplace_back([this, seed, n] { operate(seed * 100 + n); });
            threads_.emplace_back([this, seed, n] { read(seed * 100 + 50 + n); });
        }
    }
    ~operators() { stop(); }
    operators(const operators&) = delete;
    operators& operator=(const operators&) = delete;

    void stop()
    {
        ending_ = true;
        for (auto& it : threads_)
        {
            if (it.joinable())
            {
                it.join();
            }
        }
    }
    /// Until \p when a change may stay unacknowledged.
    void excuse_until(clock::time_point when)
    {
        excused_until_ = std::max(excused_until_.load(), when);
    }
    /// Counts acknowledgements; the front that gave the last one is last_acknowledger().
    [[nodiscard]] std::uint64_t acknowledgements() const { return acknowledgements_; }
    [[nodiscard]] std::string last_acknowledger() const
    {
        const std::lock_guard guard(mutex_);
        return last_acknowledger_;
    }

    /// Sends \p body to a front; the status of its answer, 0 for none.
    static int send(const std::string& ip, const std::string& body)
    {
        httplib::Client to(ip, control_port);
        to.set_read_timeout(1, 0);
        to.set_connection_timeout(0, 300'000);
        const auto reply = to.Post("/savoryreach/config/replace", body, "application/json");
        return reply ? reply->status : 0;
    }
    /// Orders an evacuation or its end; the status of the answer, 0 for none.
    static int order_evacuation(const std::string& ip, const std::string& name, bool ends)
    {
        httplib::Client to(ip, control_port);
        to.set_read_timeout(1, 0);
        to.set_connection_timeout(0, 300'000);
        const auto reply =
            to.Post("/savoryreach/evacuations/" + name + (ends ? "/finish" : "/begin"));
        return reply ? reply->status : 0;
    }
    /// Reads the configuration at a front and hands it to \p seen; the status, 0 for none.
    static int read_at(const std::string& ip, configuration_watch& seen)
    {
        const auto asked_at = clock::now();
        httplib::Client to(ip, control_port);
        to.set_read_timeout(1, 0);
        to.set_connection_timeout(0, 300'000);
        const auto reply = to.Get("/savoryreach/config/read");
        if (reply && reply->status == 200)
        {
            seen.read(ip, asked_at, read_body(reply->body)["version"].asInt64(), reply->body);
        }
        return reply ? reply->status : 0;
    }

    /// Sends a configuration with the name of a route in ISO 8859-2; the status of the answer.
    static int send_foreign_text(const std::string& ip)
    {
        static const std::string name = "\"rjobs\"";
        auto body = make(foreign_text_version).body;
        body.replace(body.find(name), name.size(), "\"\xe8\"");
        return send(ip, body);
    }

    /// The queue of every version is served by the next three versions, too.
    static sent_configuration make(std::int64_t version, bool other_content = false)
    {
        sent_configuration out;
        out.version = version;
        Json::Value body;
        body["version"] = Json::Int64(version);
        Json::Value service;
        service["name"] = "s1";
        body["services"].append(service);
        const auto add = [&](const std::string& prefix)
        {
            Json::Value route;
            route["name"] = "r" + prefix.substr(1, prefix.size() - 2);
            route["host"] = soak_host;
            route["pathPrefix"] = prefix;
            route["service"] = "s1";
            route["timeoutMs"] = 1500;
            route["targetRuntimeMs"] = 60;
            route["maxAttempts"] = 4;
            route["slackFactor"] = 2.0;
            body["routes"].append(route);
            out.prefixes.insert(prefix);
        };
        add(lasting_queue);
        constexpr std::int64_t kept = 4;
        for (auto it = std::max<std::int64_t>(1, version - kept + 1); it <= version; ++it)
        {
            add("/v" + std::to_string(it) + "/");
        }
        if (other_content)
        {
            add("/other" + std::to_string(version) + "/");
        }
        out.body = base::json_line(body);
        return out;
    }

private:
    /// Above all others, so that it isn't refused for its number.
    static constexpr std::int64_t foreign_text_version = 500'000;
    static constexpr milliseconds ack_bound = milliseconds(4000);

    [[nodiscard]] static bool refuses(int status)
    {
        return status >= 400 && status < 500 && status != 408 && status != 429;
    }
    [[nodiscard]] std::string any_front(std::mt19937_64& random) const
    {
        const auto all = fleet_.addresses();
        return all[random() % all.size()];
    }

    void operate(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        while (!ending_)
        {
            if (random() % 8 == 0)
            {
                send_invalid(random);
            }
            const auto version = next_version_ += 1 + static_cast<std::int64_t>(random() % 3);
            change(version, random() % 4 == 0, random);
            if (random() % 6 == 0 && !ending_)
            {
                change(version, true, random); // the other content, or the same again
            }
            std::this_thread::sleep_for(milliseconds(pause_ms() / 10 + random() % pause_ms()));
        }
    }
    /// Longest pause between two changes of an operator.
    static std::uint64_t pause_ms()
    {
        const char* text = std::getenv("SAVORYREACH_SOAK_PAUSE_MS");
        return text == nullptr ? 500 : std::stoull(text);
    }
    /// Sends one configuration until it is acknowledged.
    void change(std::int64_t version, bool other_content, std::mt19937_64& random)
    {
        const auto sent = make(version, other_content);
        watch_.sent(version, sent.body, sent.prefixes);
        const auto first_sent_at = clock::now();
        auto pause = milliseconds(50);
        bool is_late = false;
        while (!ending_)
        {
            const auto front = any_front(random);
            const int status = send(front, sent.body);
            if (status == 200)
            {
                watch_.acknowledged(version);
                const std::lock_guard guard(mutex_);
                last_acknowledger_ = front;
                ++acknowledgements_;
                return;
            }
            if (refuses(status))
            {
                watch_.violation(front + " refuses the valid version " + std::to_string(version) +
                                 " with " + std::to_string(status));
                return;
            }
            if (!is_late &&
                clock::now() > std::max(first_sent_at, excused_until_.load()) + ack_bound)
            {
                is_late = true;
                watch_.violation("version " + std::to_string(version) +
                                 " is not acknowledged in time, last status " +
                                 std::to_string(status) + " of " + front);
            }
            std::this_thread::sleep_for(pause);
            pause = std::min(pause * 2, milliseconds(400));
        }
    }
    void send_invalid(std::mt19937_64& random)
    {
        const auto version = next_version_ + 1000 + static_cast<std::int64_t>(random() % 100);
        auto body = make(version).body;
        switch (random() % 4)
        {
        case 0:
            body.resize(body.size() / 2);
            break;
        case 1:
            body.replace(body.find("\"s1\""), 4, "\"s2\"");
            break;
        case 2:
            body.replace(body.find("/v"), 2, "/jobs/\",\"x\":\"");
            break;
        default:
            body.replace(body.find("1500"), 4, "0");
        }
        const auto front = any_front(random);
        const int status = send(front, body);
        if (status >= 200 && status < 300)
        {
            watch_.violation(front + " acknowledges an invalid configuration: " + body);
        }
    }

    void read(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        while (!ending_)
        {
            read_at(any_front(random), watch_);
            const auto newest = next_version_.load();
            const auto version = newest - static_cast<std::int64_t>(random() % 20);
            look_up(any_front(random),
                    random() % 6 == 0 ? lasting_queue : "/v" + std::to_string(version) + "/");
            std::this_thread::sleep_for(milliseconds(10 + random() % 30));
        }
    }
    void look_up(const std::string& ip, const std::string& prefix)
    {
        const auto asked_at = clock::now();
        httplib::Client to(ip, deployment::client_port);
        to.set_read_timeout(2, 0);
        to.set_connection_timeout(0, 300'000);
        const auto reply =
            to.Get(prefix, {{"Host", soak_host}, {"X-Savoryreach-Deadline-Ms", "1500"}});
        if (reply && (reply->status == 200 || reply->status == 404))
        {
            watch_.looked_up(ip, asked_at, prefix, reply->status == 200);
        }
    }

    const deployment& fleet_;
    configuration_watch& watch_;
    std::atomic<std::int64_t> next_version_ = 1;
    std::atomic<clock::time_point> excused_until_ = clock::time_point();
    std::atomic<std::uint64_t> acknowledgements_ = 0;
    std::atomic<bool> ending_ = false;
    mutable std::mutex mutex_;
    std::string last_acknowledger_; ///< under mutex_
    std::vector<std::thread> threads_;
};

} // namespace savoryreach::soak

#endif
