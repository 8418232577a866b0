// Real processes: members of the core that are lost for good, one after the other, each loss one
// that the deployment has to bear.

#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

namespace savoryreach::soak
{
namespace
{

/// A host counts as lost until this long after it is back, or after its successor has started.
constexpr milliseconds catch_up(4000);
/// After the last loss everything is served again within this time.
constexpr milliseconds recovery(12'000);

class core_repair : public ::testing::Test
{
protected:
    core_repair()
        : folder_(std::filesystem::temp_directory_path() /
                  ("savoryreach-" +
                   std::string(::testing::UnitTest::GetInstance()->current_test_info()->name()) +
                   "-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        fleet_ =
            std::make_unique<deployment>(deployment_shape{"three", 3, 1, 1, 1}, folder_, jobs_, 1);
    }
    ~core_repair() override
    {
        fleet_.reset();
        if (!HasFailure())
        {
            std::filesystem::remove_all(folder_);
        }
    }

    void begin(const deployment_shape& shape)
    {
        fleet_.reset();
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        fleet_ = std::make_unique<deployment>(shape, folder_, jobs_, 1);
    }

    /// Sends the next configuration to all fronts until one acknowledges it.
    bool change_configuration(milliseconds limit)
    {
        const auto sent = operators::make(++version_);
        seen_.sent(version_, sent.body, sent.prefixes);
        const auto end = clock::now() + limit;
        while (clock::now() < end)
        {
            for (const auto& ip : fleet_->addresses())
            {
                if (operators::send(ip, sent.body) == 200)
                {
                    seen_.acknowledged(version_);
                    return true;
                }
            }
        }
        return false;
    }
    /// True when the log of any front has \p text at least \p count times within \p limit.
    bool wait_for_log(const std::string& text, int count, milliseconds limit)
    {
        const auto end = clock::now() + limit;
        do
        {
            int found = 0;
            for (const auto* it : fleet_->fronts())
            {
                std::ifstream file(it->log_file());
                for (std::string line; std::getline(file, line);)
                {
                    found += line.find(text) != std::string::npos ? 1 : 0;
                }
            }
            if (found >= count)
            {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(5));
        } while (clock::now() < end);
        return false;
    }
    void expect_served()
    {
        EXPECT_TRUE(change_configuration(recovery)) << "no configuration is acknowledged any more";
        for (const auto& it : seen_.violations())
        {
            ADD_FAILURE() << it;
        }
    }

    std::filesystem::path folder_;
    watch jobs_;
    configuration_watch seen_;
    std::unique_ptr<deployment> fleet_;
    std::int64_t version_ = 0;
};

// The successor at the same address was made a voter beside the member whose disk was gone. When
// the same host lost its disk again, two of four voters were dead, and the core never had a
// majority.
TEST_F(core_repair, host_that_loses_its_disk_twice_leaves_a_core_that_serves)
{
    ASSERT_TRUE(change_configuration(recovery));
    auto& host = *fleet_->core().back();
    host.lose_disk();
    host.start(false);
    ASSERT_TRUE(wait_for_log("event=learner_promoted", 1, recovery));
    host.lose_disk();
    host.start(false);
    expect_served();
}

// A member that was gone for good was replaced only after its successor had stopped to count as
// lost, so that the next loss of a disk ended the core.
TEST_F(core_repair,
       host_lost_after_the_successor_of_another_has_caught_up_leaves_a_core_that_serves)
{
    ASSERT_TRUE(change_configuration(recovery));
    const auto core = fleet_->core();
    core[2]->kill();
    fleet_->remove_front(*core[2]);
    std::this_thread::sleep_for(milliseconds(500));
    fleet_->add_front(true).start(false);
    std::this_thread::sleep_for(catch_up);
    core[1]->lose_disk();
    core[1]->start(false);
    expect_served();
}

// A silent member was removed before the stand-by was added. When another one lost its disk just
// then, the one that returned with its disk no longer counted, and the rest had no majority.
TEST_F(core_repair,
       silent_host_that_returns_after_the_loss_of_another_disk_leaves_a_core_that_serves)
{
    begin({"four", 4, 0, 1, 1});
    ASSERT_TRUE(change_configuration(recovery));
    const auto core = fleet_->core();
    core[3]->slow_disk(400); // the stand-by takes a while to catch up
    core[2]->kill();
    ASSERT_TRUE(wait_for_log("event=member_change", 1, recovery));
    core[1]->lose_disk();
    core[2]->start(false);
    core[1]->start(false);
    expect_served();
}

} // namespace
} // namespace savoryreach::soak
