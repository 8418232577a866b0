#include "savoryreach/daemon/submission_json.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/base/json_reader.hpp"

#include <absl/strings/str_cat.h>
#include <json/json.h>

#include <algorithm>
#include <functional>
#include <string_view>

namespace savoryreach::daemon
{
namespace
{

using base::error_kind;

/// Reads the members of one JSON object into typed fields and keeps the first error.
class object_reader
{
public:
    object_reader(const Json::Value& object, std::string path, std::optional<base::reason>& error)
        : object_(object), path_(std::move(path)), error_(error)
    {
        if (!object_.isObject())
        {
            fail(error_kind::wrong_type, path_.empty() ? "body" : path_, "must be an object");
        }
    }

    void allow_only(std::initializer_list<std::string_view> known)
    {
        if (error_)
        {
            return;
        }
        for (const auto& name : object_.getMemberNames())
        {
            if (std::find(known.begin(), known.end(), name) == known.end())
            {
                fail(error_kind::unknown_field, field(name), "is not a known field");
            }
        }
    }

    void read_text(const char* name, std::size_t min_bytes, std::size_t max_bytes,
                   const std::function<void(std::string)>& store)
    {
        const auto* value = member(name, min_bytes > 0);
        if (value == nullptr)
        {
            return;
        }
        if (!value->isString())
        {
            return fail(error_kind::wrong_type, field(name), "must be a string");
        }
        auto text = value->asString();
        if (text.size() < min_bytes || text.size() > max_bytes)
        {
            return fail(error_kind::out_of_range, field(name),
                        absl::StrCat("must have ", min_bytes, " to ", max_bytes, " bytes, has ",
                                     text.size()));
        }
        store(std::move(text));
    }

    void read_number(const char* name, bool required, std::uint64_t min, std::uint64_t max,
                     const std::function<void(std::uint64_t)>& store)
    {
        const auto* value = member(name, required);
        if (value == nullptr)
        {
            return;
        }
        if (!value->isIntegral() || value->isBool())
        {
            return fail(error_kind::wrong_type, field(name), "must be a whole number");
        }
        if (!value->isUInt64() || value->asUInt64() < min || value->asUInt64() > max)
        {
            return fail(error_kind::out_of_range, field(name),
                        absl::StrCat("must be ", min, " to ", max));
        }
        store(value->asUInt64());
    }

    void read_flag(const char* name, const std::function<void(bool)>& store)
    {
        const auto* value = member(name, false);
        if (value == nullptr)
        {
            return;
        }
        if (!value->isBool())
        {
            return fail(error_kind::wrong_type, field(name), "must be true or false");
        }
        store(value->asBool());
    }

    const Json::Value* read_array(const char* name, Json::ArrayIndex min, Json::ArrayIndex max)
    {
        const auto* value = member(name, true);
        if (value == nullptr)
        {
            return nullptr;
        }
        if (!value->isArray())
        {
            fail(error_kind::wrong_type, field(name), "must be an array");
            return nullptr;
        }
        if (value->size() < min || value->size() > max)
        {
            fail(error_kind::out_of_range, field(name),
                 absl::StrCat("must have ", min, " to ", max, " elements, has ", value->size()));
            return nullptr;
        }
        return value;
    }

    void fail(error_kind kind, const std::string& path, const std::string& message)
    {
        if (!error_)
        {
            error_ = base::reason{kind, absl::StrCat(path, ": ", message)};
        }
    }

    [[nodiscard]] std::string field(const std::string& name) const
    {
        return path_.empty() ? name : absl::StrCat(path_, ".", name);
    }

private:
    const Json::Value* member(const char* name, bool required)
    {
        if (error_)
        {
            return nullptr;
        }
        const auto* value = object_.find(name, name + std::string_view(name).size());
        if (value == nullptr && required)
        {
            fail(error_kind::out_of_range, field(name), "is missing");
        }
        return value;
    }

    const Json::Value& object_;
    std::string path_; ///< of the object within the body
    std::optional<base::reason>& error_;
};

void read_task(const Json::Value& value, const std::string& path, schema::task& task,
               std::optional<base::reason>& error)
{
    constexpr std::size_t max_payload_bytes = 1024UL * 1024;
    constexpr std::uint64_t max_declared_size = 1ULL << 40U;
    object_reader object(value, path, error);
    object.allow_only({"payload", "declared_size", "declared_run_ms"});
    object.read_text("payload", 0, max_payload_bytes,
                     [&](std::string text) { task.set_payload(std::move(text)); });
    object.read_number("declared_size", false, 0, max_declared_size,
                       [&](std::uint64_t n) { task.set_declared_size(n); });
    object.read_number("declared_run_ms", false, 0, max_time_budget_ms,
                       [&](std::uint64_t n)
                       { task.set_declared_run_ms(static_cast<std::uint32_t>(n)); });
}

void read_version(object_reader& object, schema::submission& submission,
                  std::optional<base::reason>& error)
{
    object.read_number("schema_version", true, 0, UINT32_MAX,
                       [&](std::uint64_t n)
                       { submission.set_schema_version(static_cast<std::uint32_t>(n)); });
    const auto version = submission.schema_version();
    if (!error && (version < 1 || version > newest_schema_version))
    {
        object.fail(error_kind::unknown_version, "schema_version",
                    absl::StrCat("must be 1 to ", newest_schema_version, ", is ", version));
    }
}

void read_fields(object_reader& object, schema::submission& submission)
{
    object.read_text("submission_id", 1, max_id_bytes,
                     [&](std::string text) { submission.set_submission_id(std::move(text)); });
    object.read_text("team", 1, max_id_bytes,
                     [&](std::string text) { submission.set_team(std::move(text)); });
    object.read_text("kind", 1, max_id_bytes,
                     [&](std::string text) { submission.set_kind(std::move(text)); });
    object.read_number("urgency", false, 0, max_urgency,
                       [&](std::uint64_t n)
                       { submission.set_urgency(static_cast<std::uint32_t>(n)); });
    object.read_flag("idempotent", [&](bool flag) { submission.set_idempotent(flag); });
    object.read_number("time_budget_ms", true, 1, max_time_budget_ms,
                       [&](std::uint64_t n)
                       { submission.set_time_budget_ms(static_cast<std::uint32_t>(n)); });
    object.read_text("locality", 0, max_id_bytes,
                     [&](std::string text) { submission.set_locality(std::move(text)); });
}

schema::submission read_submission(const Json::Value& body, std::optional<base::reason>& error)
{
    schema::submission submission;
    object_reader object(body, "", error);
    if (error)
    {
        return submission;
    }
    read_version(object, submission, error);
    if (submission.schema_version() == 1)
    {
        object.allow_only({"schema_version", "submission_id", "team", "kind", "urgency",
                           "idempotent", "time_budget_ms", "tasks"});
    }
    else
    {
        object.allow_only({"schema_version", "submission_id", "team", "kind", "urgency",
                           "idempotent", "time_budget_ms", "tasks", "locality"});
    }
    read_fields(object, submission);
    const auto* tasks = object.read_array("tasks", 1, max_tasks);
    for (Json::ArrayIndex n = 0; tasks != nullptr && n < tasks->size() && !error; ++n)
    {
        read_task((*tasks)[n], absl::StrCat("tasks[", n, "]"), *submission.add_tasks(), error);
    }
    return submission;
}

std::string_view not_run_name(schema::not_run_claim claim)
{
    switch (claim)
    {
    case schema::not_run_true:
        return "true";
    case schema::not_run_false:
        return "false";
    default:
        return "unknown";
    }
}

std::string_view state_name(schema::job_state state)
{
    switch (state)
    {
    case schema::job_state_running:
        return "running";
    case schema::job_state_complete:
        return "complete";
    default:
        return "failed";
    }
}

} // namespace

std::optional<schema::submission> submission_reader::read(const std::string& body)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    constexpr int max_depth = 8;
    builder["stackLimit"] = max_depth;
    std::string errors;
    const auto value = base::read_json(builder, body, errors);
    if (!value)
    {
        last_reason_ = {error_kind::not_json, absl::StrCat("body: ", errors)};
        return std::nullopt;
    }
    std::optional<base::reason> error;
    auto submission = read_submission(*value, error);
    if (error)
    {
        last_reason_ = *error;
        return std::nullopt;
    }
    return submission;
}

std::string answer_to_json(const schema::job_answer& answer)
{
    Json::Value body(Json::objectValue);
    body["schema_version"] = answer.schema_version();
    body["submission_id"] = answer.submission_id();
    body["state"] = std::string(state_name(answer.state()));
    if (answer.state() == schema::job_state_complete)
    {
        auto& outputs = body["outputs"] = Json::Value(Json::arrayValue);
        for (const auto& it : answer.outputs())
        {
            outputs.append(it);
        }
        body["response_us"] = Json::UInt64(answer.response_us());
    }
    if (answer.state() == schema::job_state_failed)
    {
        const auto& traits = base::traits_of(base::error_kind_from(answer.error_kind()));
        body["error"] = std::string(traits.name);
        body["reason"] = answer.reason();
        body["not_run"] = std::string(not_run_name(answer.not_run()));
        body["tasks_started"] = answer.tasks_started();
        body["retry_after_ms"] = answer.retry_after_ms();
    }
    return base::json_line(body) + "\n";
}

schema::job_answer refused_answer(const std::string& submission_id, const base::reason& reason)
{
    schema::job_answer answer;
    answer.set_schema_version(1);
    answer.set_submission_id(submission_id);
    answer.set_state(schema::job_state_failed);
    answer.set_error_kind(static_cast<std::uint32_t>(reason.kind));
    answer.set_reason(reason.text);
    answer.set_not_run(base::traits_of(reason.kind).claim == base::not_run::yes
                           ? schema::not_run_true
                           : schema::not_run_unknown);
    return answer;
}

} // namespace savoryreach::daemon
