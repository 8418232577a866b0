#include "savoryreach/config/declaration_file.hpp"

#include "savoryreach/config/declaration.hpp"
#include "savoryreach/config/json_text.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace savoryreach::config
{

declaration_file::declaration_file(std::string path) : path_(std::move(path)) {}

std::optional<std::vector<schema::declaration>> declaration_file::read()
{
    json_text json(path_);
    const auto text = json.read_file();
    if (!text)
    {
        last_reason_ = json.last_reason();
        return std::nullopt;
    }
    return parse(*text);
}

std::optional<std::vector<schema::declaration>> declaration_file::parse(const std::string& text)
{
    json_text json(path_);
    const auto value = json.parse(text);
    if (!value)
    {
        last_reason_ = json.last_reason();
        return std::nullopt;
    }
    const bool is_list = value->isArray();
    const Json::ArrayIndex n = is_list ? value->size() : 1;
    std::vector<schema::declaration> out;
    absl::flat_hash_set<std::string> names;
    for (Json::ArrayIndex i = 0; i < n; ++i)
    {
        const std::string place = is_list ? absl::StrCat("[", i, "].") : "";
        schema::declaration item;
        if (!json.fill(is_list ? (*value)[i] : *value, place, item))
        {
            last_reason_ = json.last_reason();
            return std::nullopt;
        }
        if (const auto problem = validate(item))
        {
            last_reason_ = {problem->kind, absl::StrCat(path_, ": ", place, problem->text)};
            return std::nullopt;
        }
        if (!names.insert(item.name()).second)
        {
            last_reason_ = {
                base::error_kind::content_conflict,
                absl::StrCat(path_, ": ", place, "name \"", item.name(), "\" is declared twice")};
            return std::nullopt;
        }
        out.push_back(std::move(item));
    }
    return out;
}

} // namespace savoryreach::config
