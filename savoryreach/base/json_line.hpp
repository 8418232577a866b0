#ifndef SAVORYREACH_BASE_JSON_LINE_HPP
#define SAVORYREACH_BASE_JSON_LINE_HPP

#include <json/value.h>

#include <string>

namespace savoryreach::base
{

/// \p value in one line.
[[nodiscard]] std::string json_line(const Json::Value& value);

} // namespace savoryreach::base

#endif
