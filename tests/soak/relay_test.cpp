// Real processes that lose their links to all members of the core and still reach a front without a
// disk.

#include "tests/soak/job_client.hpp"
#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace savoryreach::soak
{
namespace
{

/// The machine may be busy.
constexpr milliseconds limit(20'000);

class relays : public ::testing::Test
{
protected:
    relays()
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-relays-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        fleet_ =
            std::make_unique<deployment>(deployment_shape{"five", 5, 2, 1, 2}, folder_, jobs_, 1);
    }
    ~relays() override
    {
        fleet_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    template <typename Condition>
    static bool wait_for(Condition holds)
    {
        const auto end = clock::now() + limit;
        while (!holds())
        {
            if (clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return true;
    }
    static bool has_logged(const process& it, const std::string& text)
    {
        std::ifstream file(it.log_file());
        for (std::string line; std::getline(file, line);)
        {
            if (line.find(text) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }
    bool serves_job(const process& front)
    {
        httplib::Client to(front.ip(), deployment::client_port);
        to.set_read_timeout(std::chrono::seconds(5));
        return send_job(to, jobs_, lasting_queue, job_id(++last_job_), 2, true) == 200;
    }
    void begin()
    {
        const auto sent = operators::make(1);
        ASSERT_TRUE(wait_for([&] { return operators::send(core_front().ip(), sent.body) == 200; }));
        ASSERT_TRUE(wait_for([&] { return serves_job(front()) && serves_job(core_front()); }));
    }
    void set_core_reach(process& it, reach how)
    {
        for (const auto* member : fleet_->core())
        {
            const auto ip = member->ip();
            it.faults().reaches[std::stoul(ip.substr(ip.rfind('.') + 1))] = how;
        }
    }
    void expect_served_through_relay(process& cut, const process& entry)
    {
        set_core_reach(cut, reach::none);
        EXPECT_TRUE(wait_for([&] { return has_logged(cut, "event=relay_path_taken"); }));
        EXPECT_TRUE(wait_for([&] { return serves_job(entry); }));
        EXPECT_FALSE(has_logged(cut, "event=relay_path_left"));
        set_core_reach(cut, reach::both);
        EXPECT_TRUE(wait_for([&] { return has_logged(cut, "event=relay_path_left"); }));
        EXPECT_TRUE(wait_for([&] { return serves_job(entry); }));
        for (const auto& it : jobs_.violations())
        {
            ADD_FAILURE() << it;
        }
    }

    process& front() { return *fleet_->fronts().back(); }
    process& core_front() { return *fleet_->core().front(); }
    process& agent() { return *fleet_->all().back(); }

    std::filesystem::path folder_;
    watch jobs_;
    std::uint64_t last_job_ = 0;
    std::unique_ptr<deployment> fleet_;
};

// The agent had no dispatcher, so that its endpoint stood idle.
TEST_F(relays, agent_cut_off_from_the_core_starts_new_tasks)
{
    begin();
    expect_served_through_relay(agent(), core_front());
}

// The front refused its clients.
TEST_F(relays, front_cut_off_from_the_core_serves_its_clients)
{
    begin();
    expect_served_through_relay(front(), front());
}

} // namespace
} // namespace savoryreach::soak
