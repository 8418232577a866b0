#ifndef SAVORYREACH_TESTS_SOAK_DEPLOYMENT_HPP
#define SAVORYREACH_TESTS_SOAK_DEPLOYMENT_HPP

#include "tests/soak/fleet_process.hpp"
#include "tests/soak/load.hpp"
#include "tests/soak/soak_endpoint.hpp"

#include <boost/asio.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace savoryreach::soak
{

/// Numbers of hosts, and of members of the core that may be lost at once.
struct deployment_shape
{
    std::string name;
    int disks = 3;
    int diskless_fronts = 0;
    int agents = 2;
    int tolerated = 1;
};

/// Processes of one deployment on loopback, with endpoints of this test.
class deployment
{
public:
    deployment(deployment_shape shape, std::filesystem::path folder, watch& seen,
               std::uint64_t seed)
        : shape_(std::move(shape)), folder_(std::move(folder))
    {
        make_silent_address();
        for (int n = 0; n < 3 && n < shape_.disks; ++n)
        {
            seeds_.append(control_address(ip_of(first_front + n)));
        }
        for (int n = 0; n < shape_.disks + shape_.diskless_fronts; ++n)
        {
            add_front(n < shape_.disks);
        }
        for (int n = 0; n < shape_.agents; ++n)
        {
            const auto ip = ip_of(first_agent + n);
            endpoints_.push_back(
                std::make_unique<endpoint>("side-" + std::to_string(n), ip, seen, seed + n));
            add_process("side-" + std::to_string(n), "agent", ip, false);
        }
        for (const auto& it : processes_)
        {
            it->start(true);
        }
    }

    static std::string ip_of(int n) { return processes::own_network() + "." + std::to_string(n); }
    static std::string control_address(const std::string& ip)
    {
        return ip + ":" + std::to_string(control_port);
    }

    /// A front at an address that none had before; not started.
    process& add_front(bool has_disk)
    {
        const auto number = first_front + added_fronts_++;
        auto& out = add_process("edge-" + std::to_string(number), "front", ip_of(number), has_disk);
        fronts_.push_back(&out);
        publish_addresses();
        return out;
    }
    /// Takes a front out of the operator's list.
    void remove_front(process& it)
    {
        std::erase(fronts_, &it);
        publish_addresses();
    }
    /// What the settings of all processes name from now on.
    void set_seeds(const Json::Value& seeds)
    {
        seeds_ = seeds;
        for (const auto& it : processes_)
        {
            it->set_seeds(seeds);
        }
    }

    [[nodiscard]] const deployment_shape& shape() const { return shape_; }
    [[nodiscard]] const std::vector<std::unique_ptr<process>>& all() const { return processes_; }
    [[nodiscard]] const std::vector<process*>& fronts() const { return fronts_; }
    [[nodiscard]] std::vector<process*> core() const
    {
        std::vector<process*> out;
        for (auto* it : fronts_)
        {
            if (it->has_disk())
            {
                out.push_back(it);
            }
        }
        return out;
    }
    /// Addresses of the fronts; for use on any thread.
    [[nodiscard]] std::vector<std::string> addresses() const
    {
        const std::lock_guard guard(mutex_);
        return addresses_;
    }

    static constexpr int client_port = 8161;

private:
    static constexpr int first_front = 10;
    static constexpr int first_agent = 100;
    static constexpr int silent_host = 250;
    static constexpr int internal_port = 7600;
    static constexpr int ready_port = 8167;

    process& add_process(const std::string& name, const std::string& role, const std::string& ip,
                         bool has_disk)
    {
        const auto at = [&ip](int port)
        {
            return ip + ":" + std::to_string(port);
        };
        Json::Value it;
        it["nodeName"] = name;
        it["ip"] = ip;
        it["zone"] = "z1";
        it["zones"]["z1"] = "r1";
        it["limits"] = Json::Value(Json::objectValue);
        it["internalPorts"].append(internal_port);
        it["internalPorts"].append(internal_port + 15);
        it["seeds"] = seeds_;
        it["faultTolerance"]["machines"] = shape_.tolerated;
        it["bounds"]["holdMaxMs"] = Json::Int64(longest_lease_ms);
        it["bounds"]["graceS"] = 6;
        it["bounds"]["catchUpS"] = 4;
        it["listenAddrs"]["controlPlane"] = at(control_port);
        if (role == "front")
        {
            it["listenAddrs"]["frontend"] = at(client_port);
            it["listenAddrs"]["ready"] = at(ready_port);
        }
        else
        {
            it["app"] = at(endpoint_port);
        }
        if (has_disk)
        {
            it["dataDir"] = (folder_ / (name + "-data")).string();
        }
        processes_.push_back(std::make_unique<process>(name, role, folder_, it));
        auto& faults = processes_.back()->faults();
        faults.silent_ip = htonl(silent_.address().to_v4().to_uint());
        faults.silent_port = htons(silent_.port());
        return *processes_.back();
    }

    /// A listener whose queue is full: the kernel answers no further attempt to connect.
    void make_silent_address()
    {
        silent_listener_.open(boost::asio::ip::tcp::v4());
        silent_listener_.bind({boost::asio::ip::make_address(ip_of(silent_host)), 0});
        silent_listener_.listen(0);
        silent_ = silent_listener_.local_endpoint();
        for (auto& it : queued_)
        {
            it.open(boost::asio::ip::tcp::v4());
            it.non_blocking(true);
            // Stays in progress: the queue of the listener is full.
            (void)::connect(it.native_handle(), silent_.data(), silent_.size());
        }
    }
    void publish_addresses()
    {
        const std::lock_guard guard(mutex_);
        addresses_.clear();
        for (const auto* it : fronts_)
        {
            addresses_.push_back(it->ip());
        }
    }

    deployment_shape shape_;
    std::filesystem::path folder_;
    Json::Value seeds_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor silent_listener_{io_};
    boost::asio::ip::tcp::endpoint silent_;
    std::array<boost::asio::ip::tcp::socket, 3> queued_{boost::asio::ip::tcp::socket(io_),
                                                        boost::asio::ip::tcp::socket(io_),
                                                        boost::asio::ip::tcp::socket(io_)};
    int added_fronts_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::string> addresses_; ///< under mutex_
    std::vector<std::unique_ptr<endpoint>> endpoints_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<process*> fronts_;
};

} // namespace savoryreach::soak

#endif
