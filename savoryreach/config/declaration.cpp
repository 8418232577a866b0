#include "savoryreach/config/declaration.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/unknown_field_set.h>

#include <cstdint>
#include <limits>

namespace savoryreach::config
{
namespace
{

using base::error_kind;
using problem = std::optional<base::reason>;

/// Inclusive range of a number.
struct range
{
    std::uint64_t least;
    std::uint64_t most;
};

// The ranges are those stated in schema/ledger.proto.
constexpr range weight_range{1, 1000};
constexpr range urgency_bound_range_ms{0, 1000};
constexpr range percent_range{0, 50};
constexpr range answer_retention_range_ms{1'000, 600'000};
constexpr range claim_retention_range_ms{60'000, 604'800'000};
constexpr range max_claims_range{1'000, 100'000'000};
// Version 0 is what an absent field reads as.
constexpr range version_range{1, std::numeric_limits<std::uint64_t>::max()};

problem check_range(const char* field, std::uint64_t value, const range& allowed)
{
    if (value >= allowed.least && value <= allowed.most)
    {
        return std::nullopt;
    }
    return base::reason{
        error_kind::out_of_range,
        absl::StrCat(field, " is ", value, ", allowed are ", allowed.least, " to ", allowed.most)};
}

problem check_name(const char* field, const std::string& value)
{
    if (!value.empty() && value.size() <= max_name_bytes)
    {
        return std::nullopt;
    }
    return base::reason{
        error_kind::out_of_range,
        absl::StrCat(field, " has ", value.size(), " bytes, allowed are 1 to ", max_name_bytes)};
}

/// Finds a field that the schema of this program does not have, in \p message or below it.
problem check_unknown_fields(const google::protobuf::Message& message)
{
    const auto* reflection = message.GetReflection();
    const auto& unknown = reflection->GetUnknownFields(message);
    if (!unknown.empty())
    {
        return base::reason{error_kind::unknown_field,
                            absl::StrCat("unknown field number ", unknown.field(0).number(), " in ",
                                         message.GetDescriptor()->name())};
    }
    std::vector<const google::protobuf::FieldDescriptor*> fields;
    reflection->ListFields(message, &fields);
    for (const auto* field : fields)
    {
        if (field->cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
        {
            if (auto found = check_unknown_fields(reflection->GetMessage(message, field)))
            {
                return found;
            }
        }
    }
    return std::nullopt;
}

problem check_version(const schema::declaration& it)
{
    if (it.schema_version() < 1 || it.schema_version() > newest_declaration_version)
    {
        return base::reason{error_kind::unknown_version,
                            absl::StrCat("schema_version is ", it.schema_version(),
                                         ", known are 1 to ", newest_declaration_version)};
    }
    if (it.schema_version() < 2 && it.kind_policy().max_wait_ms() != 0)
    {
        return base::reason{error_kind::unknown_field,
                            absl::StrCat("kind_policy.max_wait_ms is a field of schema_version 2, "
                                         "declaration has schema_version ",
                                         it.schema_version())};
    }
    return std::nullopt;
}

/// The first problem of several checks, in order.
template <typename... Checks>
problem first_of(const Checks&... checks)
{
    problem found;
    (void)((found = checks()) || ...);
    return found;
}

problem check_kind_policy(const schema::kind_policy& it)
{
    return first_of([&] { return check_name("kind_policy.kind", it.kind()); },
                    [&] { return check_range("kind_policy.weight", it.weight(), weight_range); },
                    [&]
                    {
                        return check_range("kind_policy.urgency_bound_ms", it.urgency_bound_ms(),
                                           urgency_bound_range_ms);
                    });
}

problem check_team_quota(const schema::team_quota& it)
{
    return first_of([&] { return check_name("team_quota.team", it.team()); },
                    [&] { return check_range("team_quota.weight", it.weight(), weight_range); });
}

problem check_endpoint_policy(const schema::endpoint_policy& it)
{
    return first_of(
        [&]
        {
            return check_range("endpoint_policy.retry_budget_percent", it.retry_budget_percent(),
                               percent_range);
        },
        [&]
        {
            return check_range("endpoint_policy.max_set_aside_percent", it.max_set_aside_percent(),
                               percent_range);
        });
}

problem check_retention(const schema::retention_policy& it)
{
    return first_of(
        [&]
        {
            return check_range("retention.answer_retention_ms", it.answer_retention_ms(),
                               answer_retention_range_ms);
        },
        [&]
        {
            return check_range("retention.claim_retention_ms", it.claim_retention_ms(),
                               claim_retention_range_ms);
        },
        [&] { return check_range("retention.max_claims", it.max_claims(), max_claims_range); });
}

problem check_body(const schema::declaration& it)
{
    switch (it.body_case())
    {
    case schema::declaration::kKindPolicy:
        return check_kind_policy(it.kind_policy());
    case schema::declaration::kTeamQuota:
        return check_team_quota(it.team_quota());
    case schema::declaration::kEndpointPolicy:
        return check_endpoint_policy(it.endpoint_policy());
    case schema::declaration::kRetention:
        return check_retention(it.retention());
    case schema::declaration::BODY_NOT_SET:
        break;
    }
    return base::reason{error_kind::wrong_type, "body is missing, expected one of kind_policy, "
                                                "team_quota, endpoint_policy, retention"};
}

} // namespace

std::optional<base::reason> validate(const schema::declaration& declaration)
{
    auto found = first_of(
        // The version comes first: an unknown version explains unknown fields.
        [&] { return check_version(declaration); },
        [&] { return check_unknown_fields(declaration); },
        [&] { return check_name("name", declaration.name()); },
        [&] { return check_range("version", declaration.version(), version_range); },
        [&] { return check_body(declaration); });
    if (found)
    {
        found->text = absl::StrCat("declaration \"",
                                   absl::CEscape(declaration.name().substr(0, max_name_bytes)),
                                   "\": ", found->text);
    }
    return found;
}

std::string declaration_digest(const schema::declaration& declaration)
{
    std::string bytes;
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream out(&stream);
        out.SetSerializationDeterministic(true);
        declaration.SerializeToCodedStream(&out);
    }
    return base::to_hex(base::content_digest(bytes));
}

} // namespace savoryreach::config
