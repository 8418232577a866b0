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

TEST_F(fleet_process_test, fatal_signal_is_logged_before_the_end)
{
    front_->start(true);
    ASSERT_TRUE(wait_until([this] { return is_ready(); }));
    front_->signal(SIGABRT);
    std::optional<int> status;
    ASSERT_TRUE(wait_until(
        [&]
        {
            status = front_->ended();
            return status.has_value();
        }));
    EXPECT_TRUE(WIFSIGNALED(*status) && WTERMSIG(*status) == SIGABRT) << *status;
    EXPECT_NE(log().find("process=edge event=process_ends reason=\"signal 6\""), std::string::npos)
        << log();
}

/// The same with a standard output of the test's own.
class fleet_output_test : public fleet_process_test
{
protected:
    ~fleet_output_test() override
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        close_reader();
        std::filesystem::remove(settings_file_);
    }

    /// Starts the front by a shell command, which gets its command line as "$@".
    void start(const std::string& command)
    {
        ASSERT_EQ(::pipe2(pipe_.data(), O_CLOEXEC), 0);
        auto it = settings();
        it["bootstrap"] = true;
        std::ofstream(settings_file_) << base::json_line(it);
        const std::string program = std::string(SAVORYREACH_DAEMONS) + "/savoryreach-fleet";
        const std::string option = "--settings=" + settings_file_;
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::dup2(pipe_[1], STDOUT_FILENO);
            ::execl("/bin/sh", "sh", "-c", command.c_str(), "sh", program.c_str(), "front",
                    option.c_str(), nullptr);
            ::_exit(127);
        }
        ::close(pipe_[1]);
        ASSERT_GT(pid_, 0);
    }
    void close_reader()
    {
        if (pipe_[0] >= 0)
        {
            ::close(pipe_[0]);
            pipe_[0] = -1;
        }
    }
    /// Expects that the front takes configurations, which each write lines to its log.
    void expect_serving_changes(int count)
    {
        ASSERT_TRUE(wait_until([this] { return is_ready() || has_ended(); }));
        for (int n = 1; n <= count && !has_ended(); ++n)
        {
            const auto body =
                "{\"version\":" + std::to_string(n) + R"(,"services":[],"routes":[]})";
            EXPECT_TRUE(wait_until([&] { return apply(body) == 200 || has_ended(); }));
        }
        std::this_thread::sleep_for(aftermath);
        EXPECT_FALSE(has_ended()) << "status " << status_;
    }
    [[nodiscard]] int apply(const std::string& body) const
    {
        httplib::Client to(ip_, control_port);
        to.set_read_timeout(2, 0);
        const auto reply = to.Post("/savoryreach/config/replace", body, "application/json");
        return reply ? reply->status : 0;
    }
    bool has_ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
        {
            pid_ = -1;
        }
        return pid_ < 0;
    }

    const std::string settings_file_ = folder_.string() + ".json";
    std::array<int, 2> pipe_ = {-1, -1};
    pid_t pid_ = -1;
    int status_ = 0;
};

TEST_F(fleet_output_test, configuration_larger_than_an_entry_may_be_is_answered_413)
{
    start("exec \"$@\"");
    ASSERT_TRUE(wait_until([this] { return is_ready(); }));
    // Members that are not used still belong to the document that is kept.
    const auto body_of = [](std::size_t bytes)
    {
        return R"({"version":1,"services":[],"routes":[],"notes":")" + std::string(bytes, 'x') +
               "\"}";
    };
    EXPECT_EQ(apply(body_of(14'000'000)), 413);
    EXPECT_EQ(apply(body_of(4'200'000)), 413);
    EXPECT_EQ(apply(body_of(4'000'000)), 200);
    expect_serving_changes(0);
}

/// Enough to load the program; too few for the event loop, or for the signals.
class fleet_descriptors_test : public fleet_output_test, public ::testing::WithParamInterface<int>
{
};

TEST_P(fleet_descriptors_test, too_few_for_a_start_are_the_logged_reason)
{
    const auto file = (folder_ / "output").string();
    // Whoever runs the tests may hand down open descriptors; the loader needs one that is free.
    const std::string close_inherited = "exec 3>&- 4>&- 5>&- 6>&- 7>&- 8>&- 9>&-; ";
    start(close_inherited + "exec >>" + file + "; ulimit -n " + std::to_string(GetParam()) +
          "; exec \"$@\"");
    ASSERT_TRUE(wait_until([this] { return has_ended(); }));
    EXPECT_TRUE(WIFEXITED(status_) && WEXITSTATUS(status_) == 1) << status_;
    std::ostringstream out;
    out << std::ifstream(file).rdbuf();
    EXPECT_NE(out.str().find("event=start_failed"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("Too many open files"), std::string::npos) << out.str();
}

INSTANTIATE_TEST_SUITE_P(limits, fleet_descriptors_test, ::testing::Values(4, 7));

TEST_F(fleet_output_test, reader_of_standard_output_is_gone_front_serves)
{
    start("exec \"$@\"");
    ASSERT_TRUE(wait_until([this] { return is_ready(); }));
    close_reader();
    expect_serving_changes(3);
}

TEST_F(fleet_output_test, standard_output_that_nobody_reads_front_serves)
{
    start("exec \"$@\"");
    ASSERT_GT(::fcntl(pipe_[0], F_SETPIPE_SZ, 4096), 0);
    expect_serving_changes(100);
    pollfd it = {pipe_[0], POLLIN, 0};
    EXPECT_EQ(::poll(&it, 1, 0), 1) << "nothing was written";
}

TEST_F(fleet_output_test, standard_descriptors_are_closed_front_serves)
{
    start("exec \"$@\" <&- >&- 2>&-");
    expect_serving_changes(3);
    for (const int it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        const auto path = "/proc/" + std::to_string(pid_) + "/fd/" + std::to_string(it);
        EXPECT_EQ(std::filesystem::read_symlink(path), "/dev/null");
    }
}

TEST_F(fleet_output_test, log_reaches_the_largest_size_of_a_file_front_serves)
{
    const auto file = (folder_ / "output").string();
    start("exec \"$@\" >>" + file);
    ASSERT_TRUE(wait_until([this] { return is_ready(); }));
    // The log on disk is smaller than this.
    constexpr rlim_t largest = 64'000;
    std::ofstream(file, std::ios::app) << std::string(largest, ' ');
    const rlimit limit = {largest, largest};
    ASSERT_EQ(::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr), 0);
    expect_serving_changes(3);
}

} // namespace
} // namespace savoryreach::soak
