#ifndef SAVORYREACH_TESTS_SOAK_JSON_TEXT_HPP
#define SAVORYREACH_TESTS_SOAK_JSON_TEXT_HPP

#include <json/json.h>

#include <memory>
#include <string>

namespace savoryreach::soak
{

inline std::string text_of(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parsed(const std::string& text)
{
    Json::Value out;
    Json::CharReaderBuilder builder;
    std::string why;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &out, &why);
    return out;
}

} // namespace savoryreach::soak

#endif
