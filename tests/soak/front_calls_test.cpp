// Calls of the operator and of clients at every front of a deployment of real processes.

#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace savoryreach::soak
{
namespace
{

class front_calls : public ::testing::Test
{
protected:
    front_calls()
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-front-calls-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        fleet_ =
            std::make_unique<deployment>(deployment_shape{"three", 3, 0, 1, 1}, folder_, jobs_, 1);
    }
    ~front_calls() override
    {
        fleet_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    /// Sends a configuration of these prefixes until a front acknowledges it.
    void put_in_force(int version, const std::vector<std::string>& prefixes)
    {
        Json::Value body;
        body["version"] = version;
        body["services"][0]["name"] = "s1";
        for (const auto& it : prefixes)
        {
            Json::Value route;
            route["name"] = "r" + it;
            route["host"] = soak_host;
            route["pathPrefix"] = it;
            route["service"] = "s1";
            route["timeoutMs"] = 1500;
            body["routes"].append(route);
        }
        constexpr int tries = 300;
        for (int n = 0; n < tries; ++n)
        {
            const auto all = fleet_->addresses();
            if (operators::send(all[n % all.size()], base::json_line(body)) == 200)
            {
                return;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        FAIL() << "no front has acknowledged version " << version;
    }
    /// The status of a GET at each front.
    [[nodiscard]] std::vector<int> statuses_of(const std::string& path) const
    {
        std::vector<int> out;
        for (const auto& ip : fleet_->addresses())
        {
            httplib::Client to(ip, deployment::client_port);
            const auto reply = to.Get(path, {{"Host", soak_host}});
            out.push_back(reply ? reply->status : 0);
        }
        return out;
    }

    std::filesystem::path folder_;
    watch jobs_;
    std::unique_ptr<deployment> fleet_;
};

// Only a prefix that ends in '/' was taken for the prefix of a queue.
TEST_F(front_calls, count_is_given_for_exactly_the_queues_in_force_at_every_front)
{
    using std::vector;
    put_in_force(1, {"/a/", "/a/b/", "/plain", "/removed/"});
    put_in_force(2, {"/a/", "/a/b/", "/plain", "/plain/c", "/added/"});
    for (const char* served : {"/a/", "/a/b/", "/plain", "/plain/c", "/added/"})
    {
        EXPECT_EQ(statuses_of(served), vector<int>(3, 200)) << served;
    }
    for (const char* unknown : {"/", "/a", "/a/b", "/a/x/", "/plain/", "/removed/", "/never"})
    {
        EXPECT_EQ(statuses_of(unknown), vector<int>(3, 404)) << unknown;
    }
    for (const char* job : {"/a/0123456789abcdef", "/plain0123456789abcdef"})
    {
        EXPECT_EQ(statuses_of(job), vector<int>(3, 410)) << job;
    }
}

// A 503 or 504 to the operator left no line.
TEST_F(front_calls, operator_call_that_is_not_acknowledged_leaves_a_bounded_number_of_lines)
{
    put_in_force(1, {"/a/"});
    auto& last = *fleet_->fronts()[2];
    fleet_->fronts()[0]->kill();
    fleet_->fronts()[1]->kill();
    const auto begun_at = clock::now();
    constexpr int calls = 60;
    int refused = 0;
    // The remaining front may be the dispatcher, and answers until its lease ends.
    while (refused < calls && clock::now() < begun_at + milliseconds(20'000))
    {
        configuration_watch unused;
        refused += operators::read_at(last.ip(), unused) >= 500 ? 1 : 0;
    }
    const auto status = operators::send(last.ip(), operators::make(2).body);
    EXPECT_GE(status, 500);
    // Long enough for lines of the last second to be written.
    std::this_thread::sleep_for(milliseconds(1500));
    const auto status_after_pause = operators::send(last.ip(), operators::make(2).body);
    EXPECT_GE(status_after_pause, 500);
    std::this_thread::sleep_for(milliseconds(500));
    const auto seconds = (clock::now() - begun_at) / milliseconds(1000) + 1;
    int lines = 0;
    bool has_replace = false;
    std::ifstream log(last.log_file());
    for (std::string line; std::getline(log, line);)
    {
        const bool is_refusal = line.find("event=operator_refused") != std::string::npos;
        lines += is_refusal ? 1 : 0;
        has_replace = has_replace ||
                      (is_refusal && line.find("call=\"replace 2\" status=") != std::string::npos &&
                       line.find("age_ms=") != std::string::npos);
    }
    EXPECT_EQ(refused, calls);
    EXPECT_TRUE(has_replace);
    EXPECT_GT(lines, 0);
    EXPECT_LE(lines, 10 * (seconds + 1) + 2);
}

} // namespace
} // namespace savoryreach::soak
