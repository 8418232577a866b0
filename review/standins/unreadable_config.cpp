// The operator sends a desired state that can't be read, a valid one after it, and restarts the
// fronts one after the other. Clients send jobs all the time.

#include "fleet.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>

namespace savoryreach::review
{
namespace
{

constexpr int fronts = 3;
constexpr int endpoints = 4;
constexpr int clients = 3;
constexpr const char* prefix = "/lohu930/";
/// `ackMs`, with 3 ms for the one route.
constexpr int ack_ms = 4003;
/// `contactMs`: the operator reads back for at least this long.
constexpr int contact_ms = 3000;
constexpr int recovery_ms = 12'000;

bool is_clear(int status)
{
    return status == 200 || status == 400 || status == 409 || status == 412 || status == 413 ||
           status == 422;
}

/// The operator's call in the background: after no clear answer the same order goes to the next
/// node, with increasing pauses.
class order
{
public:
    order(fleet& all, record& log, std::string name, std::string body)
        : thread_([this, &all, &log, name = std::move(name), body = std::move(body)]
                  { send(all, log, name, body); })
    {
    }
    ~order()
    {
        ending_ = true;
        thread_.join();
    }
    order(const order&) = delete;
    order& operator=(const order&) = delete;

    /// The clear answer; 0 while there is none.
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] int wait(int limit_ms) const
    {
        const auto end = now_ms() + limit_ms;
        while (status_ == 0 && now_ms() < end)
        {
            pause_ms(10);
        }
        return status_;
    }

private:
    void send(fleet& all, record& log, const std::string& name, const std::string& body)
    {
        constexpr int longest_pause_ms = 1000;
        int length_ms = 100;
        for (int n = 0; !ending_ && status_ == 0; ++n)
        {
            const int front = n % fronts;
            const auto got = all.replace_config(front, body);
            log.add("operator sends " + name + " to front " + std::to_string(front) + ", gets " +
                    std::to_string(got.status) + " " + got.body);
            if (is_clear(got.status))
            {
                status_ = got.status;
                return;
            }
            pause_ms(length_ms);
            length_ms = std::min(2 * length_ms, longest_pause_ms);
        }
    }

    std::atomic<bool> ending_ = false;
    std::atomic<int> status_ = 0;
    std::thread thread_;
};

/// Clients that send one job after the other; counts the answers by status and 5 s.
class client_group
{
public:
    client_group(fleet& all, record& log) : log_(log)
    {
        for (int n = 0; n < clients; ++n)
        {
            threads_.emplace_back([this, &all, n] { run(all, n); });
        }
    }
    ~client_group()
    {
        ending_ = true;
        for (auto& it : threads_)
        {
            it.join();
        }
        for (const auto& [slot, counts] : counts_)
        {
            std::string line = "jobs sent from second " + std::to_string(slot * slot_s) + ":";
            for (const auto& [status, count] : counts)
            {
                line += " " + std::to_string(count) + " x " + std::to_string(status);
            }
            log_.add(line);
        }
    }
    client_group(const client_group&) = delete;
    client_group& operator=(const client_group&) = delete;

private:
    static constexpr int slot_s = 5;
    static constexpr int slot_ms = 5000;

    void run(fleet& all, int number)
    {
        constexpr std::uint64_t per_client = 100'000;
        auto id_number = static_cast<std::uint64_t>(number) * per_client;
        for (int n = 0; !ending_; ++n)
        {
            const auto slot = static_cast<int>((now_ms() - began_ms_) / slot_ms);
            const auto id = job_id(++id_number);
            const auto got = all.send_job((number + n) % fronts, prefix, id, 2, 200, 1500);
            {
                const std::lock_guard guard(mutex_);
                ++counts_[slot][got.status];
            }
            pause_ms(100);
        }
    }

    record& log_;
    std::int64_t began_ms_ = now_ms();
    std::atomic<bool> ending_ = false;
    std::mutex mutex_;
    std::map<int, std::map<int, int>> counts_;
    std::vector<std::thread> threads_;
};

/// The newest version that any front says within \p limit_ms; 0 when none says one.
int read_back(fleet& all, record& log, int limit_ms)
{
    const auto end = now_ms() + limit_ms;
    int newest = 0;
    while (now_ms() < end)
    {
        for (int n = 0; n < fronts; ++n)
        {
            const auto got = all.read_config(n);
            const int version = got.status == 200 ? parse(got.body)["version"].asInt() : 0;
            newest = std::max(newest, version);
            log.add("operator reads at front " + std::to_string(n) + ", gets " +
                    std::to_string(got.status) + ", version " + std::to_string(version));
        }
        if (newest > 0)
        {
            break;
        }
        all.restart_ended();
        pause_ms(200);
    }
    return newest;
}

int run_case(const std::string& record_path)
{
    record log(record_path);
    fleet all(fronts, endpoints, log);
    all.start();
    constexpr int start_limit_ms = 15'000;
    if (!all.wait_until_ready(start_limit_ms) ||
        order(all, log, "version 1", fleet::config(1, {prefix})).wait(ack_ms) != 200)
    {
        log.add("the fleet did not start");
        return exit_not_run;
    }
    all.clear_bootstrap();
    const client_group traffic(all, log);
    pause_ms(contact_ms);
    std::unique_ptr<order> unreadable;
    if (is_trouble_wanted())
    {
        // A name in ISO 8859-2, put in by hand, since a writer of JSON replaces such bytes.
        auto bytes = fleet::config(2, {prefix}, "r-MARK");
        bytes.replace(bytes.find("MARK"), 4,
                      "\xa9"
                      "en\xe8"
                      "ur");
        unreadable = std::make_unique<order>(all, log, "unreadable version 2", bytes);
        log.add("unreadable version 2: answer " + std::to_string(unreadable->wait(ack_ms)));
    }
    int acknowledged = 1;
    const order valid(all, log, "version 3", fleet::config(3, {prefix}));
    const bool has_ack = valid.wait(ack_ms) == 200;
    log.add(has_ack ? "Acks holds: version 3 is acknowledged"
                    : "Acks is broken: version 3 has no ack after ackMs, nothing was disrupted");
    for (int n = 0; n < fronts; ++n)
    {
        all.roll(n);
        pause_ms(contact_ms);
        all.restart_ended();
    }
    acknowledged = valid.status() == 200 ? 3 : acknowledged;
    const int version = read_back(all, log, recovery_ms + contact_ms);
    const bool is_read = version >= acknowledged;
    log.add((is_read ? "CONFIG holds: version " : "CONFIG is broken: version ") +
            std::to_string(version) + " is read back, version " + std::to_string(acknowledged) +
            " was acknowledged");
    return has_ack && is_read ? exit_held : exit_broken;
}

} // namespace
} // namespace savoryreach::review

int main(int argc, char** argv)
{
    const int code = savoryreach::review::run_case(argc > 1 ? argv[1] : "record.txt");
    std::cout << (code == 0 ? "held" : code == 1 ? "broken" : "not run") << "\n";
    return code;
}
