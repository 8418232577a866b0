#include "tests/soak/operators.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <sstream>

namespace savoryreach::soak
{
namespace
{

/// A core of three fronts, one of which has fewer descriptors than its callers open connections.
class held_connections : public ::testing::Test
{
protected:
    held_connections()
    {
        folder_ = std::filesystem::temp_directory_path() /
                  ("savoryreach-held-" + std::to_string(::getpid()));
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        fleet_ =
            std::make_unique<deployment>(deployment_shape{"held", 3, 0, 0, 1}, folder_, jobs_, 1);
        for (const auto& it : fleet_->all())
        {
            it->limit_descriptors(descriptors);
        }
        front_ = fleet_->fronts().front();
    }

    /// Sends a version until it is acknowledged, for the bound of the rule on configurations.
    int acknowledge(std::int64_t version, milliseconds limit)
    {
        const auto end = clock::now() + limit;
        int status = 0;
        do
        {
            status = operators::send(front_->ip(), operators::make(version).body);
            if (status == 200)
            {
                return status;
            }
            std::this_thread::sleep_for(milliseconds(50));
        } while (clock::now() < end);
        return status;
    }
    void hold(rlim_t count)
    {
        const boost::asio::ip::tcp::endpoint to(boost::asio::ip::make_address(front_->ip()),
                                                deployment::client_port);
        for (rlim_t n = 0; n < count; ++n)
        {
            boost::system::error_code ec;
            held_.emplace_back(io_);
            held_.back().open(boost::asio::ip::tcp::v4());
            held_.back().non_blocking(true);
            held_.back().connect(to, ec);
        }
        // The front accepts as many as it takes.
        std::this_thread::sleep_for(milliseconds(300));
    }
    /// The status of a read of the lasting queue at the service for clients.
    int look_up()
    {
        httplib::Client to(front_->ip(), deployment::client_port);
        to.set_read_timeout(2, 0);
        to.set_connection_timeout(0, 300'000);
        const auto reply =
            to.Get(lasting_queue, {{"Host", soak_host}, {"X-Savoryreach-Deadline-Ms", "1500"}});
        return reply ? reply->status : 0;
    }

    static constexpr rlim_t descriptors = 400;
    static constexpr milliseconds start_limit{10'000};
    /// Within which a configuration is to be acknowledged.
    static constexpr milliseconds acknowledge_limit{3000};

    std::filesystem::path folder_;
    watch jobs_;
    boost::asio::io_context io_;
    std::vector<boost::asio::ip::tcp::socket> held_;
    std::unique_ptr<deployment> fleet_;
    process* front_ = nullptr;
};

// Clients that held more connections than a front has descriptors shut the operator out.
TEST_F(held_connections, more_than_descriptors_leave_operator_and_clients_served)
{
    ASSERT_EQ(acknowledge(1, start_limit), 200);
    hold(descriptors + 50);
    EXPECT_EQ(acknowledge(2, acknowledge_limit), 200);
    EXPECT_EQ(look_up(), 200);
    EXPECT_FALSE(front_->ended());
}

} // namespace
} // namespace savoryreach::soak
