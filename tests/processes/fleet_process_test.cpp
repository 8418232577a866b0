// One front alone, a core of one, with faults that must not end it.

#include "tests/soak/fleet_process.hpp"
#include "tests/soak/load.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <poll.h>
#include <sstream>
#include <thread>

namespace savoryreach::soak
{
namespace
{

constexpr int internal_port = 7600;
constexpr int client_port = 8161;
constexpr int ready_port = 8167;
/// Longer than a start and an election on a busy machine.
constexpr milliseconds patience(20'000);
/// Time for a signal or a log line to do its damage.
constexpr milliseconds aftermath(500);

class fleet_process_test : public ::testing::Test
{
protected:
    fleet_process_test()
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        front_.emplace("edge", "front", folder_, settings());
    }
    ~fleet_process_test() override
    {
        front_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    [[nodiscard]] Json::Value settings() const
    {
        const auto at = [this](int port)
        {
            return ip_ + ":" + std::to_string(port);
        };
        Json::Value out;
        out["nodeName"] = "edge";
        out["ip"] = ip_;
        out["zone"] = "z1";
        out["internalPorts"].append(internal_port);
        out["internalPorts"].append(internal_port + 15);
        out["seeds"].append(at(control_port));
        out["faultTolerance"]["machines"] = 0;
        out["listenAddrs"]["controlPlane"] = at(control_port);
        out["listenAddrs"]["frontend"] = at(client_port);
        out["listenAddrs"]["ready"] = at(ready_port);
        out["bounds"]["holdMaxMs"] = Json::Int64(longest_lease_ms);
        out["bounds"]["graceS"] = 6;
        out["dataDir"] = data_folder();
        return out;
    }
    [[nodiscard]] std::string data_folder() const { return (folder_ / "data").string(); }

    static bool wait_until(const std::function<bool()>& done)
    {
        const auto end = clock::now() + patience;
        while (!done())
        {
            if (clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }
    [[nodiscard]] bool is_ready() const
    {
        httplib::Client to(ip_, ready_port);
        to.set_read_timeout(1, 0);
        const auto reply = to.Get("/savoryreach/readyz");
        return reply && reply->status == 200;
    }
    [[nodiscard]] std::string log() const
    {
        std::ostringstream out;
        out << std::ifstream(front_->log_file()).rdbuf();
        return out.str();
    }

    /// Starts the front on a disk that answers nothing, and waits until it is about to use it.
    void start_on_stalled_disk()
    {
        front_->stall_disk();
        front_->start(true);
        ASSERT_TRUE(wait_until(
            [this] { return std::filesystem::exists(data_folder() + "/identity.new"); }));
    }
    /// Expects that the front still runs after a while and serves.
    void expect_serving()
    {
        std::this_thread::sleep_for(aftermath);
        const auto status = front_->ended();
        ASSERT_FALSE(status) << "status " << *status << "\n" << log();
        EXPECT_TRUE(wait_until([this] { return is_ready(); })) << log();
    }

    const std::string ip_ = processes::own_network() + ".10";
    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() /
        ("savoryreach-fleet-process-" + std::to_string(::getpid()));
    std::optional<process> front_;
};

TEST_F(fleet_process_test, hangup_during_start_on_slow_disk_does_not_end_it)
{
    start_on_stalled_disk();
    front_->signal(SIGHUP);
    std::this_thread::sleep_for(aftermath);
    front_->resume_disk();
    expect_serving();
}

TEST_F(fleet_process_test, termination_during_start_on_slow_disk_drains_it)
{
    start_on_stalled_disk();
    front_->signal(SIGTERM);
    std::this_thread::sleep_for(aftermath);
    front_->resume_disk();
    std::optional<int> status;
    ASSERT_TRUE(wait_until(
        [&]
        {
            status = front_->ended();
            return status.has_value();
        }));
    EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
    EXPECT_NE(log().find("event=stopped"), std::string::npos) << log();
}

TEST_F(fleet_process_test, no_caller_connects_before_it_can_serve)
{
    start_on_stalled_disk();
    for (const int port : {control_port, client_port, ready_port})
    {
        httplib::Client to(ip_, port);
        to.set_read_timeout(1, 0);
        EXPECT_EQ(to.Get("/").error(), httplib::Error::Connection) << port;
    }
    front_->resume_disk();
    expect_serving();
}

} // namespace
} // namespace savoryreach::soak
