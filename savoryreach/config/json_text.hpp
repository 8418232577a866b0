#ifndef SAVORYREACH_CONFIG_JSON_TEXT_HPP
#define SAVORYREACH_CONFIG_JSON_TEXT_HPP

#include "savoryreach/base/error.hpp"

#include <google/protobuf/message.h>
#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::config
{

/// Reads JSON with comments, as operators write it, into values and schema messages. Duplicate
/// keys, unknown fields, nulls and text behind the value are refused.
class json_text
{
public:
    /// \p source names the text in errors, usually a path.
    explicit json_text(std::string source);

    /// Reads a whole file named by the source.
    [[nodiscard]] std::optional<std::string> read_file();

    /// Parses \p text.
    [[nodiscard]] std::optional<Json::Value> parse(const std::string& text);

    /// Fills \p message from the object \p value. Keys are the field names of the schema. \p place
    /// prefixes field names in errors, such as "[2].".
    [[nodiscard]] bool fill(const Json::Value& value, const std::string& place,
                            google::protobuf::Message& message);

    /// Full paths of the keys in \p value that are no field of \p type, such as "common.nmae".
    [[nodiscard]] static std::vector<std::string>
    unknown_fields(const Json::Value& value, const google::protobuf::Descriptor& type,
                   const std::string& place);

    /// Why the last call failed; the text names the source and the field.
    [[nodiscard]] const base::reason& last_reason() const { return last_reason_; }

private:
    bool fail(base::error_kind kind, std::string_view what);

    std::string source_;       ///< Names the text in errors.
    base::reason last_reason_; ///< Why the last call failed.
};

} // namespace savoryreach::config

#endif
