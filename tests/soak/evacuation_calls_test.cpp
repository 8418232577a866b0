// Evacuations ordered at the fronts of a deployment of real processes.

#include "tests/soak/job_client.hpp"
#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace savoryreach::soak
{
namespace
{

/// Generous: the test checks what happens, not when.
constexpr milliseconds limit(30'000);

class evacuation_calls : public ::testing::Test
{
protected:
    evacuation_calls()
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-evacuation-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        fleet_ =
            std::make_unique<deployment>(deployment_shape{"three", 3, 0, 1, 1}, folder_, jobs_, 1);
    }
    ~evacuation_calls() override
    {
        fleet_.reset();
        for (const auto& it : jobs_.violations())
        {
            ADD_FAILURE() << it;
        }
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    /// Calls \p action with the address of one front after the other until it returns \p status.
    static bool repeat_until(int status, const deployment& fleet,
                             const std::function<int(const std::string&)>& action)
    {
        const auto end = clock::now() + limit;
        for (std::size_t n = 0; clock::now() < end; ++n)
        {
            const auto all = fleet.addresses();
            if (action(all[n % all.size()]) == status)
            {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }
    bool change(const std::string& name, bool ends)
    {
        return repeat_until(200, *fleet_,
                            [&](const std::string& ip)
                            { return operators::order_evacuation(ip, name, ends); });
    }
    /// Hands in jobs until one is answered with \p status.
    bool submit_until(int status)
    {
        return repeat_until(status, *fleet_,
                            [this](const std::string& ip)
                            {
                                httplib::Client to(ip, deployment::client_port);
                                to.set_read_timeout(4, 0);
                                return send_job(to, jobs_, lasting_queue, job_id(++last_job_), 2,
                                                false);
                            });
    }

    std::filesystem::path folder_;
    watch jobs_;
    std::unique_ptr<deployment> fleet_;
    std::uint64_t last_job_ = 0;
};

TEST_F(evacuation_calls, evacuation_is_in_force_after_all_processes_were_killed)
{
    ASSERT_TRUE(repeat_until(200, *fleet_,
                             [](const std::string& ip)
                             { return operators::send(ip, operators::make(1).body); }));
    ASSERT_TRUE(submit_until(200));
    EXPECT_EQ(operators::order_evacuation(fleet_->addresses()[0], "z3", false), 400);
    ASSERT_TRUE(change("z1", false));
    for (const auto& it : fleet_->all())
    {
        it->kill();
    }
    for (const auto& it : fleet_->all())
    {
        it->start(false);
    }
    // Refused by a dispatcher that knows the endpoints, not for want of one (503).
    ASSERT_TRUE(submit_until(429));
    ASSERT_TRUE(change("z1", true));
    EXPECT_TRUE(submit_until(200));
}

} // namespace
} // namespace savoryreach::soak
