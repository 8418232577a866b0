#include "savoryreach/net/listener.hpp"

#include "savoryreach/net/address.hpp"
#include "tests/net/no_descriptors.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace savoryreach::net
{
namespace
{

class listener_test : public ::testing::Test
{
protected:
    listener_test()
    {
        boost::asio::ip::tcp::acceptor probe(io_, {boost::asio::ip::address_v4::loopback(), 0});
        const auto address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        probe.close();
        EXPECT_EQ(listener_.listen(address), std::nullopt);
        to_ = *parse_address(address);
    }
    void run(std::chrono::milliseconds time)
    {
        io_.restart();
        io_.run_for(time);
    }
    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket out(io_, boost::asio::ip::tcp::v4());
        out.connect(to_);
        return out;
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::endpoint to_;
    std::vector<boost::asio::ip::tcp::socket> accepted_;
    std::vector<std::string> states_;
    listener listener_{io_,
                       {.accepted = [this](boost::asio::ip::tcp::socket it)
                        { accepted_.push_back(std::move(it)); },
                        .failing =
                            [this](const std::string& reason)
                        {
                            states_.push_back(reason);
                        }}};
};

// A front without a free descriptor wrote nothing, and accepted again at once.
TEST_F(listener_test, lack_of_descriptors_is_reported_once_and_counted)
{
    boost::asio::ip::tcp::socket waiting(io_, boost::asio::ip::tcp::v4());
    {
        const no_descriptors lack;
        waiting.connect(to_);
        run(std::chrono::milliseconds(500));
    }
    EXPECT_THAT(states_, ::testing::ElementsAre("Too many open files"));
    EXPECT_THAT(accepted_, ::testing::IsEmpty());
    run(listener::settle_time + std::chrono::milliseconds(200));
    const auto next = connect();
    run(std::chrono::milliseconds(100));
    EXPECT_EQ(accepted_.size(), 2U);
    EXPECT_THAT(states_, ::testing::ElementsAre("Too many open files", ""));
    observe::metrics out;
    listener_.write_metrics(out, "links");
    const auto count = out.counter_of("savoryreach_failed_accepts_total", "",
                                      {{"service", "links"}, {"reason", "Too many open files"}})
                           .load();
    // One attempt after each pause.
    EXPECT_GT(count, 1U);
    EXPECT_LE(count, 26U);
}

} // namespace
} // namespace savoryreach::net
