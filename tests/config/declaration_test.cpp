#include "savoryreach/config/declaration.hpp"

#include "savoryreach/config/declaration_file.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace savoryreach::config
{
namespace
{

using base::error_kind;
using testing::HasSubstr;

class declaration_test : public testing::Test
{
public:
    /// Parses \p text as the file "shares.json" and expects a refusal.
    static void expect_refusal(const std::string& text, error_kind kind, const std::string& part)
    {
        declaration_file file("shares.json");
        EXPECT_FALSE(file.parse(text)) << text;
        EXPECT_EQ(file.last_reason().kind, kind) << file.last_reason().text;
        EXPECT_THAT(file.last_reason().text, testing::StartsWith("shares.json: "));
        EXPECT_THAT(file.last_reason().text, HasSubstr(part));
    }

    /// A valid kind policy as JSON with one field replaced or added.
    static std::string policy(const std::string& changed)
    {
        return R"({"schema_version": 2, "name": "proofs", "version": 3, "kind_policy": )"
               R"({"kind": "proof", )" +
               changed + "}}";
    }
};

// Guards against refusing what operators may write.
TEST_F(declaration_test, file_with_comments_and_array_is_read)
{
    declaration_file file("shares.json");
    const auto read = file.parse(R"([ // two
        {"schema_version": 1, "name": "proofs", "version": 3,
         "kind_policy": {"kind": "proof", "weight": 1000, "urgency_bound_ms": 1000}},
        /* the second */
        {"schema_version": 2, "name": "keep", "version": 18446744073709551615,
         "retention": {"answer_retention_ms": 1000, "claim_retention_ms": 604800000,
                       "max_claims": 1000}}])");
    ASSERT_TRUE(read) << file.last_reason().text;
    ASSERT_EQ(read->size(), 2);
    EXPECT_EQ((*read)[0].kind_policy().weight(), 1000);
    EXPECT_EQ((*read)[1].version(), 18446744073709551615ULL);
}

// Guards against accepting misspelt, ambiguous or malformed input silently.
TEST_F(declaration_test, malformed_file_is_refused_naming_the_field)
{
    expect_refusal("{", error_kind::not_json, "");
    expect_refusal(std::string(1000, '['), error_kind::not_json, "");
    expect_refusal("{\"name\": \"\xe8\"}", error_kind::not_json, "UTF-8");
    expect_refusal(policy(R"("weight": 1, "weight": 2)"), error_kind::not_json, "weight");
    expect_refusal(policy(R"("wieght": 1)"), error_kind::unknown_field, "kind_policy.wieght");
    expect_refusal(policy(R"("maxWaitMs": 1)"), error_kind::unknown_field, "kind_policy.maxWaitMs");
    expect_refusal(policy(R"("weight": null)"), error_kind::wrong_type, "kind_policy.weight");
    expect_refusal(policy(R"("weight": 1.5)"), error_kind::wrong_type, "kind_policy.weight");
    expect_refusal(policy(R"("weight": -1)"), error_kind::wrong_type, "kind_policy.weight");
    expect_refusal("[3]", error_kind::wrong_type, "[0]");
    expect_refusal("[" + policy(R"("weight": 1)") + "," + policy(R"("weight": 2)") + "]",
                   error_kind::content_conflict, "\"proofs\" is declared twice");
    declaration_file missing("/nonexistent/shares.json");
    EXPECT_FALSE(missing.read());
    EXPECT_THAT(missing.last_reason().text, HasSubstr("/nonexistent/shares.json"));
}

// Guards against values outside of the ranges that schema/ledger.proto states.
TEST_F(declaration_test, out_of_range_values_are_refused_naming_field_and_range)
{
    const auto outside = error_kind::out_of_range;
    expect_refusal(policy(R"("weight": 0)"), outside, "kind_policy.weight is 0, allowed are 1 to");
    expect_refusal(policy(R"("weight": 1001)"), outside, "kind_policy.weight is 1001");
    expect_refusal(policy(R"("weight": 1, "urgency_bound_ms": 1001)"), outside, "urgency_bound_ms");
    schema::declaration it;
    it.set_schema_version(1);
    it.set_version(1);
    it.mutable_team_quota()->set_weight(1);
    it.mutable_team_quota()->set_team(std::string(128, 'a'));
    const auto problem = [&]
    {
        return validate(it).value_or(base::reason()).text;
    };
    EXPECT_THAT(problem(), HasSubstr("name has 0 bytes"));
    it.set_name(std::string(129, 'n'));
    EXPECT_THAT(problem(), HasSubstr("name has 129 bytes"));
    it.set_name(std::string(128, 'n'));
    EXPECT_EQ(problem(), "");
    it.mutable_team_quota()->set_team("");
    EXPECT_THAT(problem(), HasSubstr("team_quota.team has 0 bytes"));
    it.mutable_endpoint_policy()->set_retry_budget_percent(51);
    EXPECT_THAT(problem(), HasSubstr("retry_budget_percent is 51, allowed are 0 to 50"));
    it.mutable_retention()->set_answer_retention_ms(999);
    EXPECT_THAT(problem(), HasSubstr("answer_retention_ms is 999"));
    it.mutable_retention()->set_answer_retention_ms(600'000);
    it.mutable_retention()->set_claim_retention_ms(604'800'001);
    EXPECT_THAT(problem(), HasSubstr("claim_retention_ms is 604800001"));
    it.mutable_retention()->set_claim_retention_ms(60'000);
    EXPECT_THAT(problem(), HasSubstr("max_claims is 0"));
    it.set_version(0);
    EXPECT_THAT(problem(), HasSubstr("version is 0"));
    it.set_version(1);
    it.clear_body();
    EXPECT_THAT(problem(), HasSubstr("body is missing"));
}

// Guards against giving a record of another schema version a different meaning.
TEST_F(declaration_test, unknown_version_and_newer_fields_are_refused_by_name)
{
    schema::declaration it;
    it.set_name("proofs");
    it.set_version(1);
    it.mutable_kind_policy()->set_kind("proof");
    it.mutable_kind_policy()->set_weight(1);
    it.set_schema_version(3);
    EXPECT_EQ(validate(it)->kind, error_kind::unknown_version);
    EXPECT_THAT(validate(it)->text, HasSubstr("schema_version is 3"));
    it.set_schema_version(0);
    EXPECT_EQ(validate(it)->kind, error_kind::unknown_version);
    it.set_schema_version(1);
    EXPECT_FALSE(validate(it));
    it.mutable_kind_policy()->set_max_wait_ms(5);
    EXPECT_EQ(validate(it)->kind, error_kind::unknown_field);
    EXPECT_THAT(validate(it)->text, HasSubstr("kind_policy.max_wait_ms"));
    it.set_schema_version(2);
    EXPECT_FALSE(validate(it));
    auto* policy = it.mutable_kind_policy();
    policy->GetReflection()->MutableUnknownFields(policy)->AddVarint(77, 1);
    EXPECT_EQ(validate(it)->kind, error_kind::unknown_field);
    EXPECT_THAT(validate(it)->text, HasSubstr("field number 77 in kind_policy"));
}

// Guards against digests that differ for equal content or agree for different content.
TEST_F(declaration_test, digest_depends_on_content_only)
{
    declaration_file file("shares.json");
    const auto a = file.parse(policy(R"("weight": 1, "max_wait_ms": 7)"));
    const auto b = file.parse(policy(R"("max_wait_ms": 7, /* order */ "weight": 1)"));
    const auto c = file.parse(policy(R"("weight": 2, "max_wait_ms": 7)"));
    ASSERT_TRUE(a && b && c);
    EXPECT_EQ(declaration_digest(a->front()), declaration_digest(b->front()));
    EXPECT_NE(declaration_digest(a->front()), declaration_digest(c->front()));
    EXPECT_EQ(declaration_digest(a->front()).size(), 32);
}

} // namespace
} // namespace savoryreach::config
