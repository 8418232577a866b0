#include "savoryreach/keeper/ledger.hpp"

#include "savoryreach/base/error.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace savoryreach::keeper
{
namespace
{

constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t day_ms = 1'440 * minute_ms;

/// Applies commands to a ledger; the test sets their proposal time.
class ledger_fixture : public ::testing::Test
{
protected:
    apply_result apply(schema::command command)
    {
        command.set_proposed_at_ms(now_ms_);
        return ledger_.apply(++index_, command);
    }

    std::uint64_t join(const std::string& name, std::uint64_t nonce)
    {
        schema::command command;
        command.mutable_join_entry()->set_name(name);
        command.mutable_join_entry()->set_process_nonce(nonce);
        return apply(command).assigned_id;
    }

    void end(std::uint64_t epoch, bool left = false)
    {
        schema::command command;
        left ? command.mutable_leave_entry()->set_epoch(epoch)
             : command.mutable_expire_entry()->set_epoch(epoch);
        apply(command);
    }

    schema::claim_result claim(std::uint64_t epoch, const std::string& id,
                               const std::string& digest = "content")
    {
        schema::command command;
        command.mutable_claims()->set_owner_epoch(epoch);
        command.mutable_claims()->add_claims()->set_submission_id(id);
        command.mutable_claims()->mutable_claims(0)->set_digest(digest);
        return apply(command).claims.results(0);
    }

    void finish(std::uint64_t epoch, const std::string& id)
    {
        schema::command command;
        command.mutable_finishes()->set_owner_epoch(epoch);
        command.mutable_finishes()->add_submission_ids(id);
        apply(command);
    }

    std::uint64_t register_agent(const std::string& name, std::uint64_t nonce)
    {
        schema::command command;
        command.mutable_register_agent()->set_name(name);
        command.mutable_register_agent()->set_process_nonce(nonce);
        return apply(command).assigned_id;
    }

    void expire_agent(const std::string& name, std::uint64_t incarnation)
    {
        schema::command command;
        command.mutable_expire_agent()->set_name(name);
        command.mutable_expire_agent()->set_incarnation(incarnation);
        apply(command);
    }

    schema::apply_config_reply configure(const std::string& name, std::uint64_t version,
                                         std::uint32_t weight)
    {
        schema::command command;
        auto& declaration = *command.mutable_apply_config()->mutable_declaration();
        declaration.set_schema_version(1);
        declaration.set_name(name);
        declaration.set_version(version);
        declaration.mutable_team_quota()->set_team(name);
        declaration.mutable_team_quota()->set_weight(weight);
        return apply(command).config;
    }

    void set_retention(std::uint32_t claim_ms, std::uint32_t max_claims)
    {
        schema::command command;
        auto& declaration = *command.mutable_apply_config()->mutable_declaration();
        declaration.set_schema_version(1);
        declaration.set_name("retention");
        declaration.set_version(1);
        declaration.mutable_retention()->set_claim_retention_ms(claim_ms);
        declaration.mutable_retention()->set_max_claims(max_claims);
        apply(command);
    }

    std::vector<std::string> fence_agents(std::uint64_t epoch) const
    {
        std::vector<std::string> agents;
        const auto info = ledger_.fence_info(epoch);
        for (const auto& agent : info.agents())
        {
            agents.push_back(absl::StrCat(agent.name(), "/", agent.incarnation()));
        }
        return agents;
    }

    ledger ledger_;
    std::int64_t now_ms_ = 1'000 * day_ms;
    std::uint64_t index_ = 0;
};

// Guards against wrong outcomes of claims, which run a job twice or never.
TEST_F(ledger_fixture, claim_rules_hold)
{
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    EXPECT_EQ(claim(a, "job").outcome(), schema::claim_granted);
    EXPECT_EQ(claim(a, "job").outcome(), schema::claim_granted) << "a resent claim";
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_owned);
    EXPECT_EQ(claim(b, "job").owner(), "a");
    EXPECT_EQ(claim(b, "job", "other").outcome(), schema::claim_conflict);
    finish(b, "job");
    EXPECT_EQ(claim(a, "job").outcome(), schema::claim_granted)
        << "only the owner can finish a claim";
    finish(a, "job");
    EXPECT_EQ(claim(a, "job").outcome(), schema::claim_finished);
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_finished);
    EXPECT_EQ(claim(b, "job", "other").outcome(), schema::claim_conflict);
    EXPECT_EQ(claim(77, "new").outcome(), schema::claim_fenced) << "an unknown epoch";
    end(a);
    EXPECT_EQ(claim(a, "new").outcome(), schema::claim_fenced);
}

// Guards against a takeover that omits an earlier owner, whose started tasks would run again.
TEST_F(ledger_fixture, takeover_lists_all_earlier_epochs_also_when_resent)
{
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    const auto c = join("c", 3);
    claim(a, "job");
    end(a);
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_taken_over);
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_taken_over) << "the reply may be lost";
    EXPECT_EQ(claim(c, "job").outcome(), schema::claim_owned);
    end(b);
    const auto result = claim(c, "job");
    EXPECT_EQ(result.outcome(), schema::claim_taken_over);
    EXPECT_EQ(result.previous_epoch(), b);
    ASSERT_EQ(result.earlier_epochs_size(), 2);
    EXPECT_EQ(result.earlier_epochs(0), a);
    EXPECT_EQ(result.earlier_epochs(1), b);
    finish(b, "job");
    EXPECT_EQ(claim(c, "job").outcome(), schema::claim_taken_over)
        << "b does not own the claim any more";
}

// Guards against inquiries about a drained epoch, and against omitting a fenced epoch that owned
// the claim before it.
TEST_F(ledger_fixture, claim_of_drained_epoch_is_granted_unless_an_earlier_epoch_was_fenced)
{
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    const auto c = join("c", 3);
    claim(a, "both");
    claim(b, "drained");
    end(a);
    claim(b, "both");
    end(b, true);
    EXPECT_EQ(claim(c, "drained").outcome(), schema::claim_granted);
    const auto result = claim(c, "both");
    EXPECT_EQ(result.outcome(), schema::claim_taken_over);
    ASSERT_EQ(result.earlier_epochs_size(), 1);
    EXPECT_EQ(result.earlier_epochs(0), a);
    end(a, true);
    EXPECT_EQ(ledger_.epochs().status(a), epoch_status::fenced)
        << "a later leave must not lift the fence";
}

// Guards against a resent join or registration that ends its own process's epoch or incarnation.
TEST_F(ledger_fixture, resent_join_and_registration_give_the_same_number)
{
    const auto first = join("a", 1);
    EXPECT_EQ(join("a", 1), first);
    const auto second = join("a", 2);
    EXPECT_NE(second, first);
    EXPECT_EQ(ledger_.epochs().status(first), epoch_status::fenced);
    EXPECT_EQ(join("a", 1), first) << "a late copy of the old process";
    EXPECT_EQ(ledger_.epochs().status(second), epoch_status::live);
    const auto old = register_agent("x", 1);
    EXPECT_EQ(register_agent("x", 1), old);
    const auto fresh = register_agent("x", 2);
    EXPECT_EQ(register_agent("x", 1), old);
    EXPECT_TRUE(ledger_.agents().is_registered("x", fresh));
    EXPECT_FALSE(ledger_.agents().is_registered("x", old));
}

// Guards against two operators who both get the same version accepted, and against the rejection
// of a resent change.
TEST_F(ledger_fixture, configuration_is_compare_and_set)
{
    const auto first = configure("team", 3, 10);
    EXPECT_TRUE(first.accepted());
    const auto again = configure("team", 3, 10);
    EXPECT_TRUE(again.accepted());
    EXPECT_EQ(again.config_revision(), first.config_revision());
    const auto racing = configure("team", 3, 11);
    EXPECT_FALSE(racing.accepted());
    EXPECT_EQ(racing.error_kind(), static_cast<std::uint32_t>(base::error_kind::version_conflict));
    const auto late = configure("team", 2, 10);
    EXPECT_EQ(late.error_kind(), static_cast<std::uint32_t>(base::error_kind::version_too_low));
    EXPECT_EQ(configure("other", 1, 1).config_revision(), 2U);
    EXPECT_EQ(configure("team", 4, 12).config_revision(), 3U);

    const auto delta = ledger_.view_since(0, 2);
    EXPECT_FALSE(delta.config_complete());
    ASSERT_EQ(delta.config_size(), 1);
    EXPECT_EQ(delta.config(0).declaration().team_quota().weight(), 12U);
    EXPECT_TRUE(ledger_.view_since(0, 0).config_complete());
    EXPECT_EQ(ledger_.view_since(0, 0).config_size(), 2);
}

// Guards against an inquiry that omits an agent which may have started tasks.
TEST_F(ledger_fixture, fence_info_lists_every_agent_of_the_last_ten_minutes)
{
    const auto epoch = join("a", 1);
    const auto ended_long_ago = register_agent("old", 1);
    const auto ended_lately = register_agent("late", 2);
    const auto replaced = register_agent("twice", 3);
    expire_agent("old", ended_long_ago);
    now_ms_ += minute_ms;
    expire_agent("late", ended_lately);
    now_ms_ += 9 * minute_ms + 1;
    const auto fresh = register_agent("twice", 4);
    EXPECT_FALSE(ledger_.fence_info(epoch).fenced());
    end(epoch);
    now_ms_ += 1;
    register_agent("after", 5);
    EXPECT_TRUE(ledger_.fence_info(epoch).fenced());
    EXPECT_EQ(fence_agents(epoch), (std::vector<std::string>{absl::StrCat("late/", ended_lately),
                                                             absl::StrCat("twice/", replaced),
                                                             absl::StrCat("twice/", fresh)}));
}

// Guards against claims that expire too early or never, and against an unbounded table.
TEST_F(ledger_fixture, claims_expire_after_retention_and_are_bounded)
{
    set_retention(7'200'000, 1'000);
    const auto a = join("a", 1);
    for (int i = 0; i < 1'000; ++i)
    {
        ASSERT_EQ(claim(a, absl::StrCat("job", i)).outcome(), schema::claim_granted);
    }
    EXPECT_EQ(claim(a, "one more").outcome(), schema::claim_full);
    EXPECT_EQ(claim(a, "job5").outcome(), schema::claim_granted)
        << "a full table must accept existing claims";
    now_ms_ += 60 * minute_ms;
    finish(a, "job7");
    now_ms_ += 60 * minute_ms - 1;
    EXPECT_EQ(claim(a, "one more").outcome(), schema::claim_full);
    now_ms_ += minute_ms + 1;
    EXPECT_EQ(claim(a, "one more").outcome(), schema::claim_granted);
    EXPECT_EQ(ledger_.claim_count(), 2U);
    EXPECT_EQ(claim(a, "job7").outcome(), schema::claim_finished)
        << "the finish extends the retention";
}

// Guards against a claim that expires while its job runs because the declared retention is short.
TEST_F(ledger_fixture, claim_outlives_the_longest_time_budget)
{
    set_retention(minute_ms, 1'000);
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    claim(a, "job");
    now_ms_ += 11 * minute_ms;
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_owned);
}

// Guards against removing a fenced epoch while a claim refers to it.
TEST_F(ledger_fixture, fences_and_agents_are_kept_while_claims_refer_to_them)
{
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    const auto agent = register_agent("x", 1);
    claim(a, "job");
    end(a);
    now_ms_ += 10;
    expire_agent("x", agent);
    now_ms_ += day_ms - minute_ms;
    EXPECT_EQ(claim(b, "job").outcome(), schema::claim_taken_over);
    now_ms_ += day_ms - minute_ms;
    register_agent("y", 1);
    EXPECT_TRUE(ledger_.fence_info(a).fenced());
    EXPECT_EQ(fence_agents(a).size(), 1U);
    now_ms_ += 3 * minute_ms;
    register_agent("y", 1);
    EXPECT_EQ(ledger_.epochs().status(a), epoch_status::unknown);
    now_ms_ += minute_ms;
    register_agent("y", 1);
    EXPECT_EQ(ledger_.agents().registered_between(0, now_ms_).size(), 1U);
}

// Guards against state missing from snapshots: a keeper that installs one would then differ from
// the others.
TEST_F(ledger_fixture, snapshot_round_trip_keeps_the_state)
{
    const auto a = join("a", 1);
    const auto b = join("b", 2);
    configure("team", 1, 5);
    expire_agent("x", register_agent("x", 1));
    register_agent("y", 1);
    for (int i = 0; i < 100; ++i)
    {
        claim(a, absl::StrCat("job", i));
    }
    finish(a, "job3");
    end(a);
    claim(b, "job4");
    schema::ledger_snapshot snapshot;
    ledger_.save(snapshot);
    schema::ledger_snapshot read;
    ASSERT_TRUE(read.ParseFromString(snapshot.SerializeAsString()));
    ledger copy;
    ASSERT_TRUE(copy.load(read));
    EXPECT_EQ(copy.hash(), ledger_.hash());
    // Later commands have the same effect on both, including the retention.
    schema::command later;
    later.mutable_claims()->set_owner_epoch(b);
    later.mutable_claims()->add_claims()->set_submission_id("job5");
    for (int i = 0; i < 60; ++i)
    {
        now_ms_ += 37 * minute_ms;
        later.set_proposed_at_ms(now_ms_);
        ++index_;
        ledger_.apply(index_, later);
        copy.apply(index_, later);
        ASSERT_EQ(copy.hash(), ledger_.hash());
    }
    read.mutable_claims(0)->clear_owner_epochs();
    EXPECT_FALSE(copy.load(read)) << "a malformed record";
}

} // namespace
} // namespace savoryreach::keeper
