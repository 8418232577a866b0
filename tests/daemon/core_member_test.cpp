#include "savoryreach/daemon/core_member.hpp"

#include "savoryreach/base/system_clock.hpp"
#include "tests/daemon/refusing_disk.hpp"
#include "tests/simulation/counting_sink.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <unistd.h>

namespace savoryreach::daemon
{
namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Longer than an election and the longest pause of the reopening together.
constexpr milliseconds patience(10'000);

/// Three members of a core on one event loop, linked over loopback, each with a disk that can
/// refuse writes.
class core_member_test : public ::testing::Test
{
protected:
    struct member
    {
        std::atomic<bool> refuses = false; ///< Outlives the disk.
        std::string address;
        std::unique_ptr<net::link_hub> hub;
        std::unique_ptr<core_member> core;
        simulation::counting_sink events;
    };

    core_member_test()
    {
        for (auto& it : members_)
        {
            boost::asio::ip::tcp::acceptor probe(io_,
                                                 {boost::asio::ip::make_address("127.0.0.1"), 0});
            it.address = absl::StrCat("127.0.0.1:", probe.local_endpoint().port());
            seeds_.push_back(it.address);
        }
        std::filesystem::create_directories(folder_);
        for (auto& it : members_)
        {
            start(it);
        }
    }
    ~core_member_test() override
    {
        for (auto& it : members_)
        {
            it.hub->stop();
            it.core.reset();
        }
        std::filesystem::remove_all(folder_);
    }

    void start(member& it)
    {
        core_options options;
        options.folder = absl::StrCat(folder_, "/", it.address);
        options.address = it.address;
        options.seeds = seeds_;
        options.first_start = true;
        std::string error;
        auto disk = std::make_unique<refusing_disk>(it.refuses);
        const auto identity = load_identity(*disk, options, error);
        ASSERT_TRUE(identity) << error;
        it.hub = std::make_unique<net::link_hub>(
            io_, net::link_hub::options{identity->name, "front", it.address, "127.0.0.1", true},
            net::link_hub::callbacks{
                .up = [](const net::link_peer&) {},
                .received =
                    [&it](const net::link_peer& from, const schema::envelope& message)
                {
                    if (it.core)
                    {
                        it.core->receive(from, message);
                    }
                },
                .down =
                    [](const net::link_peer&, const std::string&) {
                    }},
            clock_, hybrid_);
        ASSERT_EQ(it.hub->start(), std::nullopt);
        it.core = core_member::open(
            io_, std::move(disk), options, *identity, *it.hub, clock_, it.events, [] {}, error);
        ASSERT_TRUE(it.core) << error;
    }

    /// Runs the loop until \p done; false when that takes longer than patience.
    bool run_until(const std::function<bool()>& done)
    {
        const auto end = steady::now() + patience;
        while (!done())
        {
            if (steady::now() > end)
            {
                return false;
            }
            for (auto& it : members_)
            {
                it.hub->want(seeds_);
                it.hub->tick();
                it.core->tick();
            }
            io_.restart();
            io_.run_for(milliseconds(5));
        }
        return true;
    }

    member* leader()
    {
        const auto it =
            std::ranges::find_if(members_, [](const member& m) { return m.core->can_serve(); });
        return it == members_.end() ? nullptr : &*it;
    }

    /// Proposes a configuration and waits until \p count members have it.
    bool store(std::uint64_t version, std::ptrdiff_t count)
    {
        std::optional<std::uint64_t> index;
        return run_until(
            [&]
            {
                if (!index && leader() != nullptr)
                {
                    schema::command command;
                    command.mutable_fleet_config()->set_version(version);
                    index = leader()->core->propose(std::move(command));
                }
                return std::ranges::count_if(
                           members_, [&](const member& m)
                           { return m.core->store().config().version() == version; }) >= count;
            });
    }

    const std::string folder_ =
        absl::StrCat(testing::TempDir(), "savoryreach-core-member-", ::getpid());
    boost::asio::io_context io_;
    base::system_clock clock_;
    observe::hybrid_clock hybrid_{clock_};
    std::vector<std::string> seeds_;
    std::array<member, 3> members_;
};

// Two disks that were full for seconds, one after the other, ended the core: a member whose disk
// had refused one write never counted again.
TEST_F(core_member_test, disks_that_refuse_writes_in_turn_leave_a_core_that_serves)
{
    ASSERT_TRUE(store(1, 3));
    std::uint64_t version = 1;
    for (auto& it : members_)
    {
        it.refuses = true;
        ASSERT_TRUE(store(++version, 2)) << "the other two members form a quorum";
        ASSERT_TRUE(run_until([&] { return it.events.count("storage_failed") > 0; }));
        it.refuses = false;
        ASSERT_TRUE(run_until([&] { return it.events.count("storage_reopened") > 0; }))
            << "the member does not return";
        ASSERT_TRUE(store(++version, 3)) << "the member does not catch up";
        EXPECT_EQ(it.core->storage_failures(), 1U);
        EXPECT_EQ(it.core->failed_since(), std::nullopt);
    }
}

// Guards against a member that returns without what it had acknowledged.
TEST_F(core_member_test, all_disks_that_refuse_writes_at_once_lose_nothing)
{
    ASSERT_TRUE(store(7, 3));
    for (auto& it : members_)
    {
        it.refuses = true;
    }
    ASSERT_TRUE(run_until(
        [&]
        {
            if (leader() != nullptr)
            {
                schema::command command;
                command.mutable_fleet_config()->set_version(8);
                leader()->core->propose(std::move(command));
            }
            return std::ranges::all_of(members_, [](const member& m)
                                       { return m.core->failed_since().has_value(); });
        }));
    EXPECT_EQ(leader(), nullptr);
    for (auto& it : members_)
    {
        it.refuses = false;
    }
    ASSERT_TRUE(run_until([&] { return leader() != nullptr; }));
    EXPECT_GE(leader()->core->store().config().version(), 7U);
    EXPECT_TRUE(store(9, 3));
}

// The log in the same folder has the votes of the member that the file names.
TEST_F(core_member_test, identity_that_cannot_be_read_is_not_replaced)
{
    core_options options;
    options.folder = absl::StrCat(folder_, "/added");
    options.address = "127.0.0.1:1";
    options.seeds = seeds_;
    const std::atomic<bool> refuses = false;
    std::string error;
    refusing_disk disk(refuses);
    const auto stored = load_identity(disk, options, error);
    ASSERT_TRUE(stored) << error;
    refusing_disk unreadable(refuses);
    unreadable.refuse_reads();
    EXPECT_FALSE(load_identity(unreadable, options, error));
    EXPECT_EQ(error, unreadable.last_reason());
    const auto read = load_identity(disk, options, error);
    ASSERT_TRUE(read) << error;
    EXPECT_EQ(read->name, stored->name);
}

} // namespace
} // namespace savoryreach::daemon
