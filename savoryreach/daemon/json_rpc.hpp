#ifndef SAVORYREACH_DAEMON_JSON_RPC_HPP
#define SAVORYREACH_DAEMON_JSON_RPC_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/daemon/http_server.hpp"

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <variant>

namespace savoryreach::daemon
{

/// Result of a method, or the reason for its failure.
using rpc_result = std::variant<Json::Value, base::reason>;

/// A JSON-RPC 2.0 server at POST /rpc. libjsonrpccpp 0.7.0 is not used, since its headers need
/// C++14 and its connectors add a second HTTP server to each process.
class json_rpc_server
{
public:
    /// Called on the threads of the HTTP server.
    using method = std::function<rpc_result(const Json::Value& params)>;

    explicit json_rpc_server(http_server& server);

    /// Adds a method; must be called before the server starts.
    void add(const std::string& name, method call);

private:
    [[nodiscard]] Json::Value answer(const std::string& body) const;

    std::map<std::string, method> methods_;
};

/// Calls one method of a process.
class json_rpc_client
{
public:
    /// \p address is the "ip:port" of the process's HTTP server.
    explicit json_rpc_client(std::string address) : address_(std::move(address)) {}

    /// Returns the result, or the reason of the error that the process reports; the reason is
    /// `unreachable` when no response arrives.
    [[nodiscard]] rpc_result call(const std::string& method, const Json::Value& params) const;

private:
    std::string address_;
};

/// Parses \p text as JSON; returns a null value when it is invalid.
[[nodiscard]] Json::Value parse_json(const std::string& text);

} // namespace savoryreach::daemon

#endif
