#include "platform/messages.hpp"
#include "savoryreach/base/seeded_random.hpp"

#include <gtest/gtest.h>

#include <array>
#include <exception>
#include <string>
#include <vector>

namespace savoryreach::platform
{
namespace
{

/// Values that replace a value of a valid body: of another type, out of range, or deeply nested.
const std::array<std::string, 14> odd_values = {
    "null", "true",      "-1",          "1e300", "-1e300", "18446744073709551615",
    "0.5",  R"("text")", R"("\u0000")", "[]",    "{}",     "[[[]]]",
    "",     "\xff\xfe"};

/// Valid bodies of all messages that processes decode.
const std::array<std::string, 4> valid_bodies = {
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"non_idempotent","timeoutMs":1500,"targetRuntimeMs":60,"priority":1,"service":"s1","maxAttempts":3,"slackFactor":1.6}],"services":[{"name":"s1","enforceCapacity":false}]})",
    R"({"spec":"x","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,"preferredRack":"r1-3"},{"count":2,"cpu":1,"dependsOn":[0]}]})",
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":64000,"memMb":10,"gpu":0},"labels":["a","r1"],"clockMs":5,"seq":4,"born":17})",
    R"({"clockMs":9,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,6200]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"};

/// Positions at which a value of \p body begins, with its length.
std::vector<std::pair<std::size_t, std::size_t>> values_of(const std::string& body)
{
    std::vector<std::pair<std::size_t, std::size_t>> out;
    for (std::size_t n = 1; n < body.size(); ++n)
    {
        if (body[n - 1] == ':' || body[n - 1] == '[' || body[n - 1] == ',')
        {
            const auto end =
                body[n] == '"' ? body.find('"', n + 1) + 1 : body.find_first_of(",]}", n);
            out.emplace_back(n, end - n);
        }
    }
    return out;
}

void decode_as_everything(const std::string& body)
{
    std::string error;
    std::int64_t clock_ms = 0;
    (void)decode_config(body, error);
    (void)decode_job(body, error);
    (void)decode_status("i-1", body, error);
    (void)decode_hold(body, error);
    for (const int status : {200, 409, 429})
    {
        (void)decode_start_result(status, body, clock_ms);
    }
}

/// Operators' report: one malformed message or unexpected error took a whole process down.
class malformed_bodies : public ::testing::Test
{
protected:
    static void expect_no_exception(const std::string& body)
    {
        try
        {
            decode_as_everything(body);
        }
        catch (const std::exception& what)
        {
            ADD_FAILURE() << what.what() << " for " << body;
        }
    }
};

TEST_F(malformed_bodies, odd_value_in_any_place_throws_nothing)
{
    for (const auto& body : valid_bodies)
    {
        for (const auto& [at, length] : values_of(body))
        {
            for (const auto& odd : odd_values)
            {
                auto changed = body;
                expect_no_exception(changed.replace(at, length, odd));
            }
        }
    }
}

TEST_F(malformed_bodies, random_changes_of_bytes_throw_nothing)
{
    base::seeded_random random(1);
    for (int n = 0; n < 20'000; ++n)
    {
        auto body = valid_bodies.at(random.below(valid_bodies.size()));
        for (auto changes = 1 + random.below(4); changes > 0; --changes)
        {
            const auto at = random.below(body.size());
            switch (random.below(3))
            {
            case 0:
                body.erase(at, 1 + random.below(8));
                break;
            case 1:
                body[at] = static_cast<char>(random.below(256));
                break;
            default:
                body.insert(at, body.substr(random.below(body.size()), random.below(12)));
            }
            body += body.empty() ? "{" : "";
        }
        expect_no_exception(body);
    }
}

TEST_F(malformed_bodies, deep_nesting_is_refused)
{
    expect_no_exception(std::string(100'000, '['));
    expect_no_exception(R"({"spec":)" + std::string(100'000, '{'));
}

} // namespace
} // namespace savoryreach::platform
