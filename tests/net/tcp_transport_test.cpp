#include "savoryreach/net/tcp_transport.hpp"

#include "savoryreach/net/address.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <condition_variable>
#include <map>

namespace savoryreach::net
{
namespace
{

/// A transport that counts its received messages and its notices.
class observed_transport
{
public:
    observed_transport(const std::string& name, const std::string& cluster,
                       const std::string& listen)
        : transport_(
              options(name, cluster, listen),
              [this](const base::node_name&, const std::vector<schema::envelope>& messages)
              { count("message", static_cast<int>(messages.size())); },
              [this](const std::string& event, const base::node_name&, const std::string&)
              { count(event, 1); })
    {
    }

    tcp_transport& get() { return transport_; }

    /// Waits until \p event has happened \p times times; the test runner has a timeout for a test
    /// that hangs.
    void wait_for(const std::string& event, int times)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return counts_[event] >= times; });
    }

    int count_of(const std::string& event)
    {
        const std::lock_guard lock(mutex_);
        return counts_[event];
    }

private:
    static tcp_transport_options options(const std::string& name, const std::string& cluster,
                                         const std::string& listen)
    {
        tcp_transport_options out;
        out.hello.set_node(name);
        out.hello.set_cluster(cluster);
        out.listen = listen;
        return out;
    }

    void count(const std::string& event, int n)
    {
        const std::lock_guard lock(mutex_);
        counts_[event] += n;
        changed_.notify_all();
    }

    std::mutex mutex_; ///< guards counts_
    std::condition_variable changed_;
    std::map<std::string, int> counts_;
    tcp_transport transport_; ///< last, so that its thread ends before the counts are destroyed
};

class tcp_transport_test : public testing::Test
{
protected:
    /// A loopback address that is derived from the process id, so that test processes do not clash.
    static std::string address(int host)
    {
        const auto pid = static_cast<unsigned>(getpid());
        return absl::StrCat("127.", 16 + (pid >> 8U) % 200, ".", pid % 256, ".", host, ":7100");
    }

    static schema::envelope message()
    {
        schema::envelope out;
        out.mutable_view_push();
        return out;
    }
};

// Guards against replies that do not reach a peer without a listening address.
TEST_F(tcp_transport_test, message_to_a_peer_that_dialled_arrives)
{
    observed_transport entry("entry-1", "demo", address(1));
    observed_transport agent("agent-1", "demo", "");
    ASSERT_FALSE(entry.get().start());
    ASSERT_FALSE(agent.get().start());
    agent.get().learn_address(base::node_name("entry-1"), address(1));
    agent.get().send(base::node_name("entry-1"), message());
    entry.wait_for("message", 1);
    entry.get().send(base::node_name("agent-1"), message());
    agent.wait_for("message", 1);
}

// Guards against a process of another deployment that joins this one.
TEST_F(tcp_transport_test, peer_of_another_cluster_is_refused)
{
    observed_transport entry("entry-1", "demo", address(2));
    observed_transport foreign_agent("agent-1", "other", "");
    ASSERT_FALSE(entry.get().start());
    ASSERT_FALSE(foreign_agent.get().start());
    foreign_agent.get().learn_address(base::node_name("entry-1"), address(2));
    foreign_agent.get().send(base::node_name("entry-1"), message());
    entry.wait_for("hello_refused", 1);
    foreign_agent.wait_for("disconnected", 1);
    EXPECT_EQ(entry.count_of("message"), 0);
    EXPECT_GE(entry.get().counts().refused, 1U);
}

// Guards against a connection that stays in use although the other end no longer answers.
TEST_F(tcp_transport_test, silent_connection_is_closed_and_replaced)
{
    boost::asio::io_context io;
    const auto endpoint = parse_address(address(3));
    ASSERT_TRUE(endpoint);
    // Accepts connections in the kernel and never answers.
    auto silent = std::make_unique<boost::asio::ip::tcp::acceptor>(io, *endpoint);
    observed_transport agent("agent-1", "demo", "");
    ASSERT_FALSE(agent.get().start());
    agent.get().learn_address(base::node_name("entry-1"), address(3));
    agent.get().send(base::node_name("entry-1"), message());
    agent.wait_for("disconnected", 1);
    silent.reset();

    observed_transport entry("entry-1", "demo", address(3));
    ASSERT_FALSE(entry.get().start());
    while (entry.count_of("message") == 0)
    {
        agent.get().send(base::node_name("entry-1"), message());
        std::this_thread::yield();
    }
}

// Guards against an address in use being ignored at start.
TEST_F(tcp_transport_test, listening_on_a_used_address_is_refused)
{
    observed_transport first("entry-1", "demo", address(4));
    observed_transport second("entry-2", "demo", address(4));
    EXPECT_FALSE(first.get().start());
    EXPECT_TRUE(second.get().start());
}

} // namespace
} // namespace savoryreach::net
