#include "savoryreach/base/json_line.hpp"

#include <json/writer.h>

namespace savoryreach::base
{

std::string json_line(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = []
    {
        Json::StreamWriterBuilder out;
        out["indentation"] = "";
        return out;
    }();
    return Json::writeString(builder, value);
}

} // namespace savoryreach::base
