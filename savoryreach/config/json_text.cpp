#include "savoryreach/config/json_text.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/base/json_reader.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/strip.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace savoryreach::config
{
namespace
{

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

// A settings or declaration file needs four levels; the bound keeps hostile input off the stack.
constexpr int max_depth = 32;

/// Path of the first null in \p value, or nullopt. Null would silently mean "default".
std::optional<std::string> find_null(const Json::Value& value, const std::string& place)
{
    if (value.isNull())
    {
        return place;
    }
    if (value.isObject())
    {
        for (const std::string& key : value.getMemberNames())
        {
            if (auto found = find_null(value[key], absl::StrCat(place, ".", key)))
            {
                return found;
            }
        }
    }
    if (value.isArray())
    {
        for (Json::ArrayIndex i = 0; i < value.size(); ++i)
        {
            if (auto found = find_null(value[i], absl::StrCat(place, "[", i, "]")))
            {
                return found;
            }
        }
    }
    return std::nullopt;
}

} // namespace

json_text::json_text(std::string source) : source_(std::move(source)) {}

bool json_text::fail(base::error_kind kind, std::string_view what)
{
    last_reason_ = {kind, absl::StrCat(source_, ": ", absl::string_view(what.data(), what.size()))};
    return false;
}

std::optional<std::string> json_text::read_file()
{
    std::ifstream in(source_, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in)
    {
        fail(base::error_kind::not_found,
             absl::StrCat("can't be read: ", std::generic_category().message(errno)));
        return std::nullopt;
    }
    return text;
}

std::optional<Json::Value> json_text::parse(const std::string& text)
{
    Json::CharReaderBuilder builder;
    builder["allowComments"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["allowTrailingCommas"] = false;
    builder["collectComments"] = false;
    builder["stackLimit"] = max_depth;
    std::string errors;
    if (auto value = base::read_json(builder, text, errors))
    {
        return value;
    }
    const auto line = absl::StripAsciiWhitespace(errors);
    fail(base::error_kind::not_json, absl::StrReplaceAll(line, {{"\n", " "}}));
    return std::nullopt;
}

std::vector<std::string> json_text::unknown_fields(const Json::Value& value, const Descriptor& type,
                                                   const std::string& place)
{
    std::vector<std::string> found;
    if (!value.isObject())
    {
        return found;
    }
    for (const std::string& key : value.getMemberNames())
    {
        const std::string path = place + key;
        const FieldDescriptor* field = type.FindFieldByName(key);
        if (field == nullptr)
        {
            found.push_back(path);
            continue;
        }
        if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
        {
            continue;
        }
        const Json::Value& below = value[key];
        const bool is_list = below.isArray();
        const Json::ArrayIndex n = is_list ? below.size() : 1;
        for (Json::ArrayIndex i = 0; i < n; ++i)
        {
            const auto more =
                unknown_fields(is_list ? below[i] : below, *field->message_type(),
                               is_list ? absl::StrCat(path, "[", i, "].") : path + ".");
            found.insert(found.end(), more.begin(), more.end());
        }
    }
    return found;
}

bool json_text::fill(const Json::Value& value, const std::string& place,
                     google::protobuf::Message& message)
{
    if (!value.isObject())
    {
        return fail(base::error_kind::wrong_type, place + " is not an object");
    }
    const auto unknown = unknown_fields(value, *message.GetDescriptor(), place);
    if (!unknown.empty())
    {
        return fail(base::error_kind::unknown_field, "unknown field " + unknown.front());
    }
    if (const auto null = find_null(value, place))
    {
        return fail(base::error_kind::wrong_type, *null + " is null");
    }
    const auto status =
        google::protobuf::util::JsonStringToMessage(base::json_line(value), &message);
    return status.ok() ||
           fail(base::error_kind::wrong_type,
                absl::StrCat(place, " ",
                             absl::string_view(status.message().data(), status.message().size())));
}

} // namespace savoryreach::config
