// Paths of processes that are cut off from the core.

#include "savoryreach/dispatch/relay_path.hpp"
#include "savoryreach/dispatch/relay_table.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace savoryreach::dispatch
{
namespace
{

const absl::Time start_time = absl::FromUnixSeconds(1000);
constexpr absl::Duration step = absl::Milliseconds(50);

class relays : public ::testing::Test
{
protected:
    relays()
    {
        std::vector<schema::core_address> known;
        for (const char* name : {"r1", "r2", "r3", "r4", "self"})
        {
            known.emplace_back().set_name(name);
        }
        path_.set_relays(known);
        pass(absl::Seconds(1), true, true);
    }

    /// Lets time pass in which the dispatcher and the other members are heard, or not. The wanted
    /// relays with a dispatcher repeat their offers.
    void pass(absl::Duration duration, bool dispatcher_heard, bool core_heard)
    {
        for (const auto end = now_ + duration; now_ < end;)
        {
            now_ += step;
            if (dispatcher_heard)
            {
                direct_.dispatcher = dispatcher_ref{"d", direct_term_};
                direct_.dispatcher_heard_at = now_;
            }
            if (core_heard)
            {
                direct_.core_heard_at = now_;
            }
            for (const auto& it : path_.wanted(now_))
            {
                if (it.name() != dead_)
                {
                    path_.on_offer(it.name(), {"d", relayed_term_}, now_);
                }
            }
            changes_ += path_.update(direct_, now_) ? 1 : 0;
        }
    }
    void cut(absl::Duration duration) { pass(duration, false, false); }

    absl::Time now_ = start_time;
    direct_contact direct_;
    std::uint64_t direct_term_ = 3;
    std::uint64_t relayed_term_ = 3;
    std::string dead_;
    int changes_ = 0;
    relay_path path_{"self"};
};

TEST_F(relays, calm_process_wants_none)
{
    pass(absl::Seconds(5), true, true);
    EXPECT_TRUE(path_.wanted(now_).empty());
    EXPECT_EQ(changes_, 0);
}

TEST_F(relays, cut_off_process_takes_one_before_its_leases_end)
{
    cut(absl::Milliseconds(450));
    EXPECT_FALSE(path_.relay().empty());
    EXPECT_EQ(path_.dispatcher(), (dispatcher_ref{"d", 3}));
    EXPECT_EQ(path_.wanted(now_).size(), 1U);
}

TEST_F(relays, election_dials_none)
{
    pass(absl::Seconds(1), false, true);
    EXPECT_TRUE(path_.wanted(now_).empty());
}

TEST_F(relays, silent_relay_is_replaced_by_another)
{
    cut(absl::Seconds(1));
    dead_ = path_.relay();
    cut(absl::Seconds(2));
    EXPECT_FALSE(path_.relay().empty());
    EXPECT_NE(path_.relay(), dead_);
}

TEST_F(relays, withdrawn_offer_ends_the_path)
{
    cut(absl::Seconds(1));
    path_.on_withdrawn(path_.relay());
    EXPECT_TRUE(path_.update(direct_, now_));
    EXPECT_TRUE(path_.relay().empty());
    EXPECT_STREQ(path_.leave_reason(), "the relay has no dispatcher");
}

TEST_F(relays, flapping_direct_link_is_not_taken_back)
{
    cut(absl::Seconds(1));
    changes_ = 0;
    for (int n = 0; n < 5; ++n)
    {
        pass(absl::Milliseconds(200), true, true);
        cut(absl::Milliseconds(500));
    }
    EXPECT_EQ(changes_, 0);
    pass(absl::Seconds(1), true, true);
    EXPECT_EQ(changes_, 1);
    EXPECT_TRUE(path_.relay().empty());
}

TEST_F(relays, direct_dispatcher_of_a_later_term_is_taken_at_once)
{
    cut(absl::Seconds(1));
    direct_term_ = 4;
    pass(step, true, true);
    EXPECT_TRUE(path_.relay().empty());
}

TEST_F(relays, offer_of_an_earlier_term_is_not_taken)
{
    relayed_term_ = 2;
    cut(absl::Seconds(2));
    EXPECT_TRUE(path_.relay().empty());
}

TEST_F(relays, unknown_process_can_not_offer)
{
    direct_.dispatcher.reset();
    now_ += absl::Seconds(1);
    path_.on_offer("stranger", {"d", 9}, now_);
    EXPECT_FALSE(path_.update(direct_, now_));
}

TEST_F(relays, client_beyond_the_limit_is_not_served)
{
    relay_table table;
    for (std::size_t n = 0; n < relay_table::max_clients; ++n)
    {
        EXPECT_TRUE(table.add(absl::StrCat(n), now_));
    }
    EXPECT_FALSE(table.add("more", now_));
    EXPECT_EQ(table.expire(now_ + relay_silence_limit).size(), relay_table::max_clients);
    EXPECT_TRUE(table.add("more", now_));
}

TEST_F(relays, relayed_and_consensus_messages_are_not_passed_on)
{
    schema::envelope message;
    message.mutable_relayed();
    EXPECT_FALSE(may_relay_up(message) || may_relay_down(message));
    message.mutable_append_request();
    EXPECT_FALSE(may_relay_up(message) || may_relay_down(message));
}

TEST_F(relays, answers_go_to_the_path_that_was_heard_last)
{
    relayed_peers peers;
    peers.on_message("f", "r1", now_);
    const auto link = peers.on_message("f", "r2", now_);
    EXPECT_EQ(peers.latest("f")->relay, "r2");
    EXPECT_EQ(peers.find(link)->peer, "f");
    peers.on_direct("f");
    EXPECT_EQ(peers.latest("f"), nullptr);
}

TEST_F(relays, lost_relay_ends_the_links_through_it)
{
    relayed_peers peers;
    peers.on_message("a", "r1", now_);
    peers.on_message("b", "r1", now_);
    peers.on_message("b", "r2", now_);
    EXPECT_EQ(peers.remove_relay("r1").size(), 2U);
    EXPECT_EQ(peers.expire(now_ + relay_silence_limit),
              std::vector<std::string>{relayed_link_name("b", "r2")});
    EXPECT_EQ(peers.size(), 0U);
}

} // namespace
} // namespace savoryreach::dispatch
