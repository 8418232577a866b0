#include "savoryreach/config/effective_config.hpp"

#include <gtest/gtest.h>

namespace savoryreach::config
{
namespace
{

class effective_config_test : public testing::Test
{
public:
    static void add_weight(schema::cluster_view& view, std::uint64_t revision,
                           const std::string& name, std::uint32_t weight)
    {
        auto* it = view.add_config();
        it->set_config_revision(revision);
        it->mutable_declaration()->set_name(name);
        it->mutable_declaration()->mutable_kind_policy()->set_kind("proof");
        it->mutable_declaration()->mutable_kind_policy()->set_weight(weight);
        view.set_config_revision(std::max(view.config_revision(), revision));
    }
};

// Guards against defaults that change unnoticed: they are part of the schema versions.
TEST_F(effective_config_test, nothing_declared_gives_stated_defaults)
{
    const effective_config config;
    EXPECT_EQ(config.revision(), 0);
    EXPECT_EQ(config.kind("proof"),
              (effective_config::kind_settings{100, absl::Milliseconds(100), {}}));
    EXPECT_EQ(config.team("swan"), (effective_config::team_settings{100, 0}));
    EXPECT_EQ(config.endpoints(), (effective_config::endpoint_settings{10, 30}));
    EXPECT_EQ(config.retention(), (effective_config::retention_settings{
                                      absl::Seconds(30), absl::Hours(24), 10'000'000}));
}

// Guards against a late or repeated view that reverts newer configuration (I8).
TEST_F(effective_config_test, lower_revision_never_reverts)
{
    schema::cluster_view old_view;
    old_view.set_config_complete(true);
    add_weight(old_view, 4, "proofs", 40);
    schema::cluster_view new_view;
    add_weight(new_view, 5, "proofs", 50);
    const auto config = effective_config().with(old_view).with(new_view);
    EXPECT_EQ(config.kind("proof").weight, 50);
    EXPECT_EQ(config.with(old_view), config);
    EXPECT_EQ(config.with(old_view).revision(), 5);
}

// Guards against changes that drop unrelated declarations, and complete views that keep stale ones.
TEST_F(effective_config_test, change_keeps_other_declarations_and_complete_view_replaces_all)
{
    schema::cluster_view first;
    first.set_config_complete(true);
    add_weight(first, 2, "zz-older", 20);
    add_weight(first, 3, "aa-newer", 30);
    auto config = effective_config().with(first);
    EXPECT_EQ(config.kind("proof").weight, 30);
    schema::cluster_view change;
    change.set_config_revision(4);
    auto* team = change.add_config();
    team->set_config_revision(4);
    team->mutable_declaration()->set_name("quota");
    team->mutable_declaration()->mutable_team_quota()->set_team("swan");
    team->mutable_declaration()->mutable_team_quota()->set_max_slots(9);
    config = config.with(change);
    EXPECT_EQ(config.kind("proof").weight, 30);
    EXPECT_EQ(config.team("swan").max_slots, 9);
    schema::cluster_view complete;
    complete.set_config_complete(true);
    add_weight(complete, 6, "proofs", 60);
    config = config.with(complete);
    EXPECT_EQ(config.kind("proof").weight, 60);
    EXPECT_EQ(config.team("swan").max_slots, 0);
}

} // namespace
} // namespace savoryreach::config
