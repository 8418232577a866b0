// Calls of the operator and of clients at every front of a deployment of real processes.

#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
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
    using ::std::vector;
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

} // namespace
} // namespace savoryreach::soak
