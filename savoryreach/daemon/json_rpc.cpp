#include "savoryreach/daemon/json_rpc.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/base/json_reader.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::daemon
{
namespace
{

// Codes of the JSON-RPC 2.0 specification. Errors of the application use application_error and
// carry their error kind in the member "data".
constexpr int invalid_request = -32600;
constexpr int method_not_found = -32601;
constexpr int application_error = -32000;
constexpr int client_timeout_s = 10;

Json::Value error_object(int code, const std::string& message)
{
    Json::Value error;
    error["code"] = code;
    error["message"] = message;
    return error;
}

} // namespace

Json::Value parse_json(const std::string& text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::string ignored;
    return base::read_json(builder, text, ignored).value_or(Json::Value());
}

json_rpc_server::json_rpc_server(http_server& server)
{
    server.routes().Post("/rpc",
                         [this](const httplib::Request& req, httplib::Response& res) {
                             res.set_content(base::json_line(answer(req.body)), "application/json");
                         });
}

void json_rpc_server::add(const std::string& name, method call)
{
    methods_.emplace(name, std::move(call));
}

Json::Value json_rpc_server::answer(const std::string& body) const
{
    Json::Value out;
    out["jsonrpc"] = "2.0";
    const auto request = parse_json(body);
    if (!request.isObject() || request["jsonrpc"] != "2.0" || !request["method"].isString())
    {
        out["error"] = error_object(invalid_request, "not a JSON-RPC 2.0 request");
        return out;
    }
    out["id"] = request["id"];
    const auto it = methods_.find(request["method"].asString());
    if (it == methods_.end())
    {
        out["error"] = error_object(method_not_found,
                                    absl::StrCat("unknown method ", request["method"].asString()));
        return out;
    }
    auto result = it->second(request["params"]);
    if (const auto* error = std::get_if<base::reason>(&result))
    {
        out["error"] = error_object(application_error, error->text);
        out["error"]["data"] = static_cast<Json::UInt>(error->kind);
    }
    else
    {
        out["result"] = std::get<Json::Value>(std::move(result));
    }
    return out;
}

rpc_result json_rpc_client::call(const std::string& method, const Json::Value& params) const
{
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = method;
    request["params"] = params;
    httplib::Client client(absl::StrCat("http://", address_));
    client.set_connection_timeout(1);
    client.set_read_timeout(client_timeout_s);
    const auto res = client.Post("/rpc", base::json_line(request), "application/json");
    if (!res)
    {
        return base::reason{base::error_kind::unreachable,
                            absl::StrCat(address_, ": ", httplib::to_string(res.error()))};
    }
    const auto answer = parse_json(res->body);
    if (!answer.isObject() || answer.isMember("error"))
    {
        return base::reason{base::error_kind_from(answer["error"]["data"].asUInt()),
                            answer["error"]["message"].asString()};
    }
    return answer["result"];
}

} // namespace savoryreach::daemon
