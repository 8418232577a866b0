#include "savoryreach/daemon/settings.hpp"

#include "savoryreach/daemon/settings_table.hpp"

#include <absl/strings/str_replace.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace savoryreach::daemon
{
namespace
{

using testing::HasSubstr;

class settings_test : public testing::Test
{
public:
    std::string common = R"("common": { // this host
        "cluster": "kostumi", "name": "node-1", "data_centre": "koper",
        "listen": "127.0.0.1:7000", "http_listen": "[::1]:7001",
        "keepers": [{"name": "k1", "address": "127.0.0.1:7100"}]})";
    std::vector<std::string> errors;
};

// Guards against defaults that differ from those stated in schema/settings.proto.
TEST_F(settings_test, absent_and_zero_numbers_take_defaults)
{
    schema::entry_settings entry;
    ASSERT_TRUE(parse_settings("{" + common + R"(, "max_jobs": 0})", "e.json", entry, errors))
        << errors.front();
    EXPECT_EQ(entry.common().drain_deadline_ms(), 30'000);
    EXPECT_EQ(entry.max_jobs(), 100'000);
    EXPECT_EQ(entry.max_waiting_tasks(), 1'000'000);
    EXPECT_EQ(entry.max_body_bytes(), 8'388'608);
    EXPECT_EQ(entry.max_connections(), 1'024);
    schema::agent_settings agent;
    ASSERT_TRUE(parse_settings(
        "{" + common + R"(, "endpoint": "127.0.0.1:80", "slots": 8, "kinds": ["proof"]})", "a.json",
        agent, errors));
    EXPECT_EQ(agent.max_result_bytes(), 16'777'216);
    EXPECT_EQ(agent.kinds(0), "proof");
    schema::keeper_settings keeper;
    ASSERT_TRUE(
        parse_settings("{" + common + R"(, "data_folder": "/var/k"})", "k.json", keeper, errors));
    EXPECT_EQ(keeper.snapshot_every(), 50'000);
    EXPECT_EQ(keeper.common().keepers(0).address(), "127.0.0.1:7100");
}

// Guards against reports that stop at the first error or don't name file, field and value.
TEST_F(settings_test, all_errors_are_reported_at_once_with_file_field_value_and_range)
{
    common = absl::StrReplaceAll(common, {{"127.0.0.1:7000", "localhost:7000"},
                                          {"\"koper\"", "\"\""},
                                          {"\"cluster\"", "\"clutser\""},
                                          {":7100", ":0"}});
    schema::agent_settings agent;
    EXPECT_FALSE(parse_settings("{" + common +
                                    R"(, "endpoint": "1.2.3.4:65536", "slots": 4097,
                                         "max_result_bytes": -1, "kinds": "proof", "colour": 1})",
                                "a.json", agent, errors));
    EXPECT_THAT(errors, testing::Each(testing::StartsWith("a.json: ")));
    EXPECT_THAT(errors,
                testing::UnorderedElementsAre(
                    HasSubstr("unknown field colour"), HasSubstr("unknown field common.clutser"),
                    HasSubstr("common.cluster is absent"), HasSubstr("common.data_centre is \"\""),
                    HasSubstr("common.listen is \"localhost:7000\""),
                    HasSubstr("common.keepers is"), HasSubstr("endpoint is \"1.2.3.4:65536\""),
                    HasSubstr("slots is 4097, allowed are 1 to 4096 slots"),
                    HasSubstr("max_result_bytes is -1, allowed are 65536 to 33554432 bytes"),
                    HasSubstr("kinds is \"proof\"")));
    EXPECT_FALSE(read_settings<schema::keeper_settings>("/nonexistent/k.json", errors));
    EXPECT_THAT(errors, testing::ElementsAre(HasSubstr("/nonexistent/k.json")));
}

// Guards against off-by-one errors in the checks of bounds, for every number in the table.
TEST_F(settings_test, every_number_accepts_its_bounds_and_refuses_beyond)
{
    for (const setting_row& row : settings_table())
    {
        if (row.form != setting_form::number)
        {
            continue;
        }
        const auto accepts = [&](std::uint64_t value)
        {
            const std::string pair = "\"" + std::string(row.field) + "\": " + std::to_string(value);
            std::string in_common = common;
            const bool is_common = row.message == "common_settings";
            if (is_common)
            {
                in_common.insert(in_common.rfind('}'), ", " + pair);
            }
            std::string text = "{" + in_common + (is_common ? "" : ", " + pair);
            const bool is_agent = row.message == "agent_settings";
            text += is_agent ? R"(, "endpoint": "127.0.0.1:80")" : "";
            text += is_agent && row.field != "slots" ? R"(, "slots": 1)" : "";
            text += row.message == "keeper_settings" ? R"(, "data_folder": "d")" : "";
            schema::entry_settings entry;
            schema::agent_settings agent;
            schema::keeper_settings keeper;
            google::protobuf::Message& settings =
                is_agent                           ? static_cast<google::protobuf::Message&>(agent)
                : row.message == "keeper_settings" ? static_cast<google::protobuf::Message&>(keeper)
                                                   : entry;
            return parse_settings(text + "}", "s.json", settings, errors);
        };
        EXPECT_TRUE(accepts(row.min_value)) << row.field;
        EXPECT_TRUE(accepts(row.max_value)) << row.field;
        EXPECT_FALSE(accepts(row.max_value + 1ULL)) << row.field;
        EXPECT_FALSE(accepts(1ULL << 32U)) << row.field;
        EXPECT_EQ(accepts(row.min_value - 1ULL), row.min_value == 1 && row.default_value != 0)
            << row.field;
    }
}

// Guards against a table that differs from docs/settings.md or from the schema.
TEST_F(settings_test, table_covers_the_schema_and_docs_page_is_current)
{
    std::ifstream in(std::string(SAVORYREACH_SOURCE_DIR) + "/docs/settings.md");
    const std::string page{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(page, settings_reference());
    const auto* file = schema::entry_settings::descriptor()->file();
    std::size_t fields = 0;
    for (int i = 0; i < file->message_type_count(); ++i)
    {
        const auto* type = file->message_type(i);
        // node_address is the type of an element of `keepers`, and `common` in each of the three
        // daemons' messages is not a setting, hence the 3 below.
        fields +=
            type->name() == "node_address" ? 0U : static_cast<std::size_t>(type->field_count());
    }
    EXPECT_EQ(settings_table().size(), fields - 3);
}

} // namespace
} // namespace savoryreach::daemon
