#include "savoryreach/daemon/settings.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/config/declaration.hpp"
#include "savoryreach/config/json_text.hpp"
#include "savoryreach/daemon/settings_table.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <json/value.h>
#include <json/writer.h>

#include <arpa/inet.h>

#include <array>
#include <limits>

namespace savoryreach::daemon
{
namespace
{

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string as_text(const Json::Value& value)
{
    return value.isNull() ? "absent" : base::json_line(value);
}

bool is_name(const Json::Value& value)
{
    return value.isString() && !value.asString().empty() &&
           value.asString().size() <= config::max_name_bytes;
}

bool is_name_list(const Json::Value& value)
{
    bool ok = value.isNull() || value.isArray();
    for (Json::ArrayIndex i = 0; ok && i < value.size(); ++i)
    {
        ok = is_name(value[i]);
    }
    return ok;
}

bool is_keeper_list(const Json::Value& value)
{
    constexpr Json::ArrayIndex max_keepers = 7;
    absl::flat_hash_set<std::string> names;
    bool ok = value.isArray() && !value.empty() && value.size() <= max_keepers;
    for (Json::ArrayIndex i = 0; ok && i < value.size(); ++i)
    {
        const Json::Value& it = value[i];
        ok = it.isObject() && is_name(it["name"]) && it["address"].isString() &&
             is_address(it["address"].asString()) && names.insert(it["name"].asString()).second;
    }
    return ok;
}

bool is_in_range(const setting_row& row, const Json::Value& value)
{
    const bool is_unset = value.isNull() || (value.isUInt64() && value.asUInt64() == 0);
    return is_unset ? row.default_value != 0
                    : value.isUInt64() && value.asUInt64() >= row.min_value &&
                          value.asUInt64() <= row.max_value;
}

bool is_allowed(const setting_row& row, const Json::Value& value)
{
    switch (row.form)
    {
    case setting_form::number:
        return is_in_range(row, value);
    case setting_form::name:
        return is_name(value);
    case setting_form::path:
        return value.isString() && !value.asString().empty();
    case setting_form::optional_path:
        return value.isNull() || value.isString();
    case setting_form::address:
        return value.isString() && is_address(value.asString());
    case setting_form::optional_address:
        return value.isNull() || value == "" || (value.isString() && is_address(value.asString()));
    case setting_form::flag:
        return value.isNull() || value.isBool();
    case setting_form::name_list:
        return is_name_list(value);
    case setting_form::keeper_list:
        return is_keeper_list(value);
    }
    return false;
}

std::string allowed_text(const setting_row& row)
{
    return row.form == setting_form::number
               ? absl::StrCat(row.min_value, " to ", row.max_value, " ", view(row.unit))
               : std::string(form_text(row.form));
}

/// Checks all settings of \p message in \p object and fills in the defaults.
void check_rows(std::string_view message, const std::string& place, Json::Value& object,
                const std::string& file, std::vector<std::string>& errors)
{
    for (const setting_row& row : settings_table())
    {
        if (row.message != message)
        {
            continue;
        }
        const std::string key(row.field);
        // The const operator[] does not create a member for an absent key.
        const Json::Value value = std::as_const(object)[key];
        if (object.isMember(key) && value.isNull())
        {
            errors.push_back(
                absl::StrCat(file, ": ", place, key, " is null, allowed are ", allowed_text(row)));
        }
        else if (!is_allowed(row, value))
        {
            errors.push_back(absl::StrCat(file, ": ", place, key, " is ", as_text(value),
                                          ", allowed are ", allowed_text(row)));
        }
        else if (row.default_value != 0 && (value.isNull() || value.asUInt64() == 0))
        {
            object[key] = row.default_value;
        }
    }
}

} // namespace

bool is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    const std::string port_text = text.substr(colon + 1);
    std::uint32_t port = 0;
    if (port_text.empty() || port_text.find_first_not_of("0123456789") != std::string::npos ||
        !absl::SimpleAtoi(port_text, &port) || port > std::numeric_limits<std::uint16_t>::max() ||
        port == 0)
    {
        return false;
    }
    std::string host = text.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        return ::inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
    }
    return ::inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

bool parse_settings(const std::string& text, const std::string& file,
                    google::protobuf::Message& settings, std::vector<std::string>& errors)
{
    errors.clear();
    config::json_text json(file);
    auto value = json.parse(text);
    if (!value || !value->isObject())
    {
        errors.push_back(value ? file + ": not an object" : json.last_reason().text);
        return false;
    }
    const auto& type = *settings.GetDescriptor();
    for (const std::string& it : config::json_text::unknown_fields(*value, type, ""))
    {
        errors.push_back(absl::StrCat(file, ": unknown field ", it));
    }
    Json::Value& common = (*value)["common"];
    if (common.isNull())
    {
        common = Json::Value(Json::objectValue);
    }
    if (common.isObject())
    {
        check_rows("common_settings", "common.", common, file, errors);
        const bool needs_listener = &type != schema::agent_settings::descriptor();
        if (needs_listener && !common.isMember("listen"))
        {
            errors.push_back(file + ": common.listen is absent, allowed are \"ip:port\"");
        }
    }
    else
    {
        errors.push_back(file + ": common is " + as_text(common) + ", allowed are objects");
    }
    check_rows(type.name(), "", *value, file, errors);
    settings.Clear();
    if (errors.empty() && !json.fill(*value, "", settings))
    {
        errors.push_back(json.last_reason().text);
    }
    return errors.empty();
}

template <typename Settings>
std::optional<Settings> read_settings(const std::string& path, std::vector<std::string>& errors)
{
    config::json_text json(path);
    const auto text = json.read_file();
    if (!text)
    {
        errors = {json.last_reason().text};
        return std::nullopt;
    }
    Settings settings;
    return parse_settings(*text, path, settings, errors) ? std::optional(std::move(settings))
                                                         : std::nullopt;
}

template std::optional<schema::entry_settings> read_settings(const std::string&,
                                                             std::vector<std::string>&);
template std::optional<schema::agent_settings> read_settings(const std::string&,
                                                             std::vector<std::string>&);
template std::optional<schema::keeper_settings> read_settings(const std::string&,
                                                              std::vector<std::string>&);

std::string settings_reference()
{
    std::string out =
        "# Settings\n\n"
        "Made from the table in savoryreach/daemon/settings_table.cpp; a test compares "
        "the two.\nSettings files are JSON with comments. Each file holds the fields "
        "of one daemon and, in the\nobject `common`, the common settings. A number "
        "that is absent or 0 takes its default. Unknown\nfields are refused.\n";
    std::string_view message;
    for (const setting_row& row : settings_table())
    {
        if (row.message != message)
        {
            message = row.message;
            absl::StrAppend(&out, "\n## ", view(message),
                            "\n\n| field | unit | default | allowed | meaning |\n",
                            "| --- | --- | --- | --- | --- |\n");
        }
        const bool is_optional = is_allowed(row, Json::Value());
        absl::StrAppend(&out, "| `", view(row.field), "` | ", view(row.unit), " | ",
                        row.default_value != 0 ? absl::StrCat(row.default_value)
                        : is_optional ? (row.form == setting_form::flag ? "false" : "empty")
                                      : "required",
                        " | ", allowed_text(row), " | ", view(row.meaning), " |\n");
    }
    return out;
}

} // namespace savoryreach::daemon
