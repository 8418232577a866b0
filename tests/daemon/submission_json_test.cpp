#include "savoryreach/daemon/submission_json.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <random>

namespace savoryreach::daemon
{
namespace
{

class submission_reader_test : public testing::Test
{
protected:
    /// A valid body in which \p tail replaces the tasks.
    static std::string body(const std::string& tail = R"("tasks":[{"payload":"a"}])",
                            const std::string& version = "1")
    {
        return absl::StrCat(R"({"schema_version":)", version,
                            R"(,"submission_id":"s","team":"t","kind":"k","time_budget_ms":1000,)",
                            tail, "}");
    }

    void expect_refused(const std::string& text, base::error_kind kind, const std::string& field)
    {
        submission_reader reader;
        EXPECT_FALSE(reader.read(text)) << text;
        EXPECT_EQ(reader.last_reason().kind, kind) << reader.last_reason().text;
        EXPECT_TRUE(reader.last_reason().text.starts_with(field)) << reader.last_reason().text;
        EXPECT_EQ(base::traits_of(kind).claim, base::not_run::yes);
        EXPECT_EQ(base::traits_of(kind).http_status / 100, 4);
    }
};

// Guards against a missing flag being read as permission to run a task twice.
TEST_F(submission_reader_test, missing_idempotent_flag_means_not_idempotent)
{
    for (const auto* version : {"1", "2"})
    {
        submission_reader reader;
        const auto submission = reader.read(body(R"("tasks":[{"payload":"a"}])", version));
        ASSERT_TRUE(submission) << reader.last_reason().text;
        EXPECT_FALSE(submission->idempotent());
    }
}

// Guards against a malformed body being partly accepted.
TEST_F(submission_reader_test, body_not_json_is_refused)
{
    expect_refused("hold it", base::error_kind::not_json, "body");
    expect_refused("", base::error_kind::not_json, "body");
    expect_refused(body() + "x", base::error_kind::not_json, "body");
    expect_refused(std::string(100, '['), base::error_kind::not_json, "body");
    expect_refused("[1]", base::error_kind::wrong_type, "body");
}

// An id that is not UTF-8 entered the keepers' log, which no follower could parse.
TEST_F(submission_reader_test, text_that_is_not_utf8_is_refused)
{
    expect_refused(body("\"tasks\":[{\"payload\":\"\xe8\"}]"), base::error_kind::not_json, "body");
    expect_refused(body(R"("tasks":[{"payload":"\udc00"}])"), base::error_kind::not_json, "body");
}

// Guards against a field of a newer version being ignored silently.
TEST_F(submission_reader_test, unknown_field_is_refused_by_name)
{
    expect_refused(body(R"("tasks":[{"payload":"a"}],"colour":1)"), base::error_kind::unknown_field,
                   "colour");
    expect_refused(body(R"("tasks":[{"payload":"a","x":1}])"), base::error_kind::unknown_field,
                   "tasks[0].x");
    expect_refused(body(R"("tasks":[{"payload":"a"}],"locality":"koper")"),
                   base::error_kind::unknown_field, "locality");
}

// Guards against a submission of an unknown version being read by the rules of another version.
TEST_F(submission_reader_test, unknown_version_is_refused_by_name)
{
    expect_refused(body(R"("tasks":[{"payload":"a"}])", "3"), base::error_kind::unknown_version,
                   "schema_version");
    expect_refused(body(R"("tasks":[{"payload":"a"}])", "0"), base::error_kind::unknown_version,
                   "schema_version");
    expect_refused("{}", base::error_kind::out_of_range, "schema_version");
}

// Guards against values of the wrong type being converted.
TEST_F(submission_reader_test, wrong_type_is_refused_by_name)
{
    expect_refused(body(R"("tasks":[{"payload":7}])"), base::error_kind::wrong_type,
                   "tasks[0].payload");
    expect_refused(body(R"("tasks":{})"), base::error_kind::wrong_type, "tasks");
    expect_refused(body(R"("tasks":[{"payload":"a"}],"idempotent":1)"),
                   base::error_kind::wrong_type, "idempotent");
    expect_refused(body(R"("tasks":[{"payload":"a"}],"urgency":true)"),
                   base::error_kind::wrong_type, "urgency");
}

// Guards against jobs beyond the documented bounds.
TEST_F(submission_reader_test, value_out_of_range_is_refused_by_name)
{
    std::string many = R"("tasks":[{"payload":""})";
    for (int n = 1; n < max_tasks; ++n)
    {
        many += R"(,{"payload":""})";
    }
    submission_reader reader;
    EXPECT_TRUE(reader.read(body(many + "]")));
    expect_refused(body(many + R"(,{"payload":""}])"), base::error_kind::out_of_range, "tasks");
    expect_refused(body(R"("tasks":[])"), base::error_kind::out_of_range, "tasks");
    expect_refused(body(R"("tasks":[{"payload":"a"}],"urgency":10)"),
                   base::error_kind::out_of_range, "urgency");
    expect_refused(absl::StrCat(R"({"schema_version":1,"submission_id":")",
                                std::string(max_id_bytes + 1, 'x'), R"("})"),
                   base::error_kind::out_of_range, "submission_id");
}

// Guards against a body that crashes the reader or is accepted although it exceeds the bounds.
TEST_F(submission_reader_test, mutated_bodies_never_pass_the_bounds)
{
    std::mt19937_64 engine(17);
    const auto original = body(R"("tasks":[{"payload":"a","declared_run_ms":5}],"urgency":3)");
    constexpr int runs = 20'000;
    for (int n = 0; n < runs; ++n)
    {
        auto text = original;
        for (auto changes = 1 + engine() % 4; changes > 0; --changes)
        {
            text[engine() % text.size()] = static_cast<char>(engine() % 256);
        }
        submission_reader reader;
        if (const auto submission = reader.read(text))
        {
            EXPECT_GE(submission->tasks_size(), 1);
            EXPECT_LE(submission->urgency(), max_urgency);
            EXPECT_FALSE(submission->submission_id().empty());
        }
    }
}

} // namespace
} // namespace savoryreach::daemon
