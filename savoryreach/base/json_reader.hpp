#ifndef SAVORYREACH_BASE_JSON_READER_HPP
#define SAVORYREACH_BASE_JSON_READER_HPP

#include <json/reader.h>
#include <json/value.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::base
{

/// Limits the values of a text that read_json takes, over all calls of this process: a decoded
/// value takes some fifty times the memory of the shortest text. An object or array counts twice.
void limit_json_items(std::size_t count);

/// Parses \p text, which another process or an operator wrote. Returns nullopt and sets \p error
/// when it is not JSON by \p rules, is nested too deeply, or has text that is not Unicode: bytes
/// that are not UTF-8, or an escape of half a surrogate pair, or more values than the limit.
/// JsonCpp itself accepts any bytes.
[[nodiscard]] std::optional<Json::Value> read_json(const Json::CharReaderBuilder& rules,
                                                   const std::string& text, std::string& error);

/// True when numbers, strings and words in \p text have the form of RFC 8259, and nothing but
/// separators is between them. JsonCpp itself takes comments, control characters in strings and
/// numbers such as "01", "1." or "-".
[[nodiscard]] bool has_json_tokens(std::string_view text);

} // namespace savoryreach::base

#endif
