#include "savoryreach/base/error.hpp"
#include "tests/keeper/keeper_cluster.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace savoryreach::keeper
{
namespace
{

schema::keeper_request config_request(const std::string& name, std::uint64_t version,
                                      std::uint32_t weight)
{
    schema::keeper_request request;
    auto& declaration = *request.mutable_apply_config()->mutable_declaration();
    declaration.set_schema_version(1);
    declaration.set_name(name);
    declaration.set_version(version);
    declaration.mutable_team_quota()->set_team(name);
    declaration.mutable_team_quota()->set_weight(weight);
    return request;
}

// Guards against clients that can't find the leader: a follower must name it.
TEST(keeper_core, follower_names_the_leader)
{
    keeper_cluster cluster(3);
    ASSERT_NE(cluster.join("e1", 1), 0U);
    const auto leader = cluster.leader();
    const std::string follower = leader == "k1" ? "k2" : "k1";
    std::string hint;
    cluster.network().attach(base::node_name("asker"),
                             [&](const auto&, const schema::envelope& message)
                             {
                                 ASSERT_TRUE(message.keeper_reply().not_leader());
                                 hint = message.keeper_reply().leader_hint();
                             });
    schema::envelope message;
    message.mutable_keeper_request()->mutable_view();
    cluster.network().send(base::node_name("asker"), base::node_name(follower), message);
    cluster.run_for(absl::Milliseconds(10));
    EXPECT_EQ(hint, leader);
}

// Guards against a lease that lasts without renewals or expires despite them.
TEST(keeper_core, silent_entry_is_fenced_and_renewing_one_is_not)
{
    keeper_cluster cluster(3);
    const auto silent = cluster.join("e1", 1);
    const auto renewing = cluster.join("e2", 2);
    ASSERT_EQ(cluster.claim(silent, "job").outcome(), schema::claim_granted);
    cluster.run_for(absl::Milliseconds(2'800));
    EXPECT_EQ(cluster.claim(renewing, "job").outcome(), schema::claim_owned)
        << "the lease of the owner is valid";
    EXPECT_EQ(cluster.renew("e2", renewing).lease_ms(), 3'000U);
    ASSERT_TRUE(cluster.run_until_fenced(silent, renewing));
    const auto answer = cluster.renew("e1", silent);
    EXPECT_TRUE(answer.fenced());
    EXPECT_EQ(answer.lease_ms(), 0U);
    EXPECT_EQ(cluster.claim(renewing, "job").outcome(), schema::claim_taken_over);
    EXPECT_EQ(cluster.claim(silent, "other").outcome(), schema::claim_fenced);
}

// Guards against a new leader that fences entries whose renewals went to the previous leader: it
// must wait for a full lease.
TEST(keeper_core, new_leader_waits_a_full_lease_before_it_expires_entries)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        keeper_cluster cluster(3, seed);
        const auto epoch = cluster.join("e1", 1);
        cluster.run_for(absl::Milliseconds(2'500));
        ASSERT_EQ(cluster.renew("e1", epoch).lease_ms(), 3'000U);
        const auto renewed_at = cluster.clock().now();
        cluster.crash(cluster.leader());
        ASSERT_TRUE(cluster.run_until([&] { return !cluster.leader().empty(); }));
        const auto elected_at = cluster.clock().now();
        const auto leader = cluster.leader();
        ASSERT_TRUE(cluster.run_until([&] { return cluster.core(leader).status().entries == 0; }));
        EXPECT_GE(cluster.clock().now(), elected_at + absl::Milliseconds(2'990));
        EXPECT_GE(cluster.clock().now(), renewed_at + absl::Seconds(3));
    }
}

// Guards against agents that stay registered forever, and against fence information that omits
// agents whose registration has ended.
TEST(keeper_core, silent_agent_is_expired_and_still_listed_for_the_fence)
{
    keeper_cluster cluster(3);
    const auto epoch = cluster.join("e1", 1);
    const auto agent = cluster.register_agent("a1", 7);
    schema::keeper_request renewal;
    renewal.mutable_renew_agent()->set_name("a1");
    renewal.mutable_renew_agent()->set_incarnation(agent);
    cluster.run_for(absl::Seconds(10));
    EXPECT_FALSE(cluster.call("a1", renewal)->renew_agent().expired());
    cluster.run_for(absl::Seconds(10));
    EXPECT_FALSE(cluster.call("a1", renewal)->renew_agent().expired()) << "renewed 10 s ago";
    cluster.run_for(absl::Milliseconds(15'200));
    EXPECT_TRUE(cluster.call("a1", renewal)->renew_agent().expired());
    schema::keeper_request request;
    request.mutable_fence_info()->set_epoch(epoch);
    const auto info = cluster.call("e2", request)->fence_info();
    EXPECT_TRUE(info.fenced());
    ASSERT_EQ(info.agents_size(), 1);
    EXPECT_EQ(info.agents(0).incarnation(), agent);
    EXPECT_EQ(cluster.register_agent("a1", 7), agent) << "the same process keeps its incarnation";
    EXPECT_GT(cluster.register_agent("a1", 8), agent);
}

// Guards against different replies to copies of a request, and against applying a copy twice.
TEST(keeper_core, resent_requests_get_the_same_answer)
{
    keeper_cluster cluster(3);
    cluster.network().faults().duplication = 0.5;
    cluster.network().faults().loss = 0.3;
    const auto epoch = cluster.join("e1", 1);
    ASSERT_NE(epoch, 0U);
    EXPECT_EQ(cluster.join("e1", 1), epoch);
    const auto agent = cluster.register_agent("a1", 2);
    EXPECT_EQ(cluster.register_agent("a1", 2), agent);
    EXPECT_EQ(cluster.claim(epoch, "job").outcome(), schema::claim_granted);
    EXPECT_EQ(cluster.claim(epoch, "job").outcome(), schema::claim_granted);
    cluster.finish(epoch, "job");
    cluster.finish(epoch, "job");
    EXPECT_EQ(cluster.claim(epoch, "job").outcome(), schema::claim_finished);
    const auto first = cluster.call("operator", config_request("team", 1, 5))->apply_config();
    const auto second = cluster.call("operator", config_request("team", 1, 5))->apply_config();
    EXPECT_TRUE(first.accepted() && second.accepted());
    EXPECT_EQ(first.config_revision(), second.config_revision());
}

// Guards against two operators who both get different content accepted as the same version.
TEST(keeper_core, racing_operators_with_equal_versions_get_one_winner)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        keeper_cluster cluster(3, seed);
        ASSERT_NE(cluster.join("e1", 1), 0U);
        const auto leader = cluster.leader();
        const auto one = cluster.send("op1", leader, config_request("team", 4, 10));
        const auto two = cluster.send("op2", leader, config_request("team", 4, 20));
        ASSERT_TRUE(cluster.run_until([&] { return cluster.reply(one) && cluster.reply(two); }));
        const auto a = cluster.reply(one)->apply_config();
        const auto b = cluster.reply(two)->apply_config();
        EXPECT_NE(a.accepted(), b.accepted());
        const auto& loser = a.accepted() ? b : a;
        EXPECT_EQ(loser.error_kind(),
                  static_cast<std::uint32_t>(base::error_kind::version_conflict));
        EXPECT_NE(loser.reason(), "");
    }
}

// Guards against invalid declarations in the log and the ledger.
TEST(keeper_core, invalid_declaration_is_refused_before_the_log)
{
    keeper_cluster cluster(1);
    const auto answer = cluster.call("operator", config_request("", 1, 1))->apply_config();
    EXPECT_FALSE(answer.accepted());
    EXPECT_NE(answer.error_kind(), 0U);
    EXPECT_EQ(cluster.core("k1").status().config_revision, 0U);
}

// Guards against a configuration change that entries receive only with their next renewal.
TEST(keeper_core, change_is_pushed_to_live_entries)
{
    keeper_cluster cluster(3);
    const auto epoch = cluster.join("e1", 1);
    ASSERT_TRUE(cluster.call("operator", config_request("team", 1, 5))->apply_config().accepted());
    cluster.run_for(absl::Milliseconds(20));
    ASSERT_FALSE(cluster.pushed_views("e1").empty());
    const auto& pushed = cluster.pushed_views("e1").back();
    EXPECT_EQ(pushed.config_revision(), 1U);
    ASSERT_EQ(pushed.config_size(), 1);
    // An entry that is up to date receives no content.
    schema::keeper_request renewal;
    renewal.mutable_renew_entry()->set_epoch(epoch);
    renewal.mutable_renew_entry()->set_config_revision(1);
    renewal.mutable_renew_entry()->set_membership_revision(epoch);
    const auto view = cluster.call("e1", renewal)->renew().view();
    EXPECT_EQ(view.config_revision(), 1U);
    EXPECT_EQ(view.config_size(), 0);
    EXPECT_EQ(view.membership_revision(), 0U);
    EXPECT_EQ(view.entries_size(), 0);
}

// Guards against a log entry and a sync for every single claim.
TEST(keeper_core, claims_that_arrive_together_share_a_log_entry)
{
    keeper_cluster cluster(3);
    const auto epoch = cluster.join("e1", 1);
    const auto leader = cluster.leader();
    const auto before = cluster.core(leader).status().last_index;
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < 200; ++i)
    {
        schema::keeper_request request;
        request.mutable_claims()->set_owner_epoch(epoch);
        request.mutable_claims()->add_claims()->set_submission_id(absl::StrCat("job", i % 100));
        request.mutable_claims()->mutable_claims(0)->set_digest(i < 150 ? "same" : "other");
        ids.push_back(cluster.send("e1", leader, request));
    }
    ASSERT_TRUE(cluster.run_until([&] { return cluster.reply(ids.back()).has_value(); }));
    cluster.run_for(absl::Milliseconds(50));
    EXPECT_LE(cluster.core(leader).status().last_index - before, 5U);
    int conflicts = 0;
    for (const auto id : ids)
    {
        ASSERT_TRUE(cluster.reply(id).has_value());
        ASSERT_EQ(cluster.reply(id)->claims().results_size(), 1);
        conflicts += cluster.reply(id)->claims().results(0).outcome() == schema::claim_conflict;
    }
    EXPECT_EQ(conflicts, 50) << "each request must get the results of its own claims";
}

// Guards against operators who can't see lagging agents or missing keepers.
TEST(keeper_core, view_request_reports_entries_and_keepers)
{
    keeper_cluster cluster(3);
    const auto epoch = cluster.join("e1", 1);
    schema::keeper_request renewal;
    renewal.mutable_renew_entry()->set_epoch(epoch);
    renewal.mutable_renew_entry()->set_config_revision(0);
    renewal.mutable_renew_entry()->set_lagging_agents(3);
    ASSERT_TRUE(cluster.call("e1", renewal).has_value());
    schema::keeper_request request;
    request.mutable_view();
    const auto view = cluster.call("operator", request)->view();
    ASSERT_EQ(view.entries_size(), 1);
    EXPECT_EQ(view.entries(0).lagging_agents(), 3U);
    ASSERT_EQ(view.keepers_size(), 3);
    EXPECT_TRUE(view.keepers(0).voter());
    EXPECT_EQ(view.view().entries(0).epoch(), epoch);
}

} // namespace
} // namespace savoryreach::keeper
