#include "savoryreach/daemon/keeper_operator_api.hpp"

#include "savoryreach/base/json_line.hpp"
#include "savoryreach/daemon/node_transport.hpp"

#include <absl/strings/str_cat.h>
#include <google/protobuf/util/json_util.h>

#include <chrono>

namespace savoryreach::daemon
{
namespace
{

constexpr auto reply_timeout = std::chrono::seconds(5);

Json::Value message_to_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    return google::protobuf::util::MessageToJsonString(message, &text, options).ok()
               ? parse_json(text)
               : Json::Value();
}

} // namespace

keeper_operator_api::keeper_operator_api(node& node, keeper::keeper_core& core)
    : node_(node), core_(core), rpc_(node.http())
{
    node_.set_operator_reply_handler(
        [this](const base::node_name& to, const schema::envelope& reply) { deliver(to, reply); });
    rpc_.add("apply", [this](const Json::Value& params) { return apply(params); });
    rpc_.add("view", [this](const Json::Value&) { return view(); });
    rpc_.add("change_keepers",
             [this](const Json::Value& params) { return change_keepers(params); });
}

rpc_result keeper_operator_api::apply(const Json::Value& params)
{
    schema::keeper_request request;
    const auto status = google::protobuf::util::JsonStringToMessage(
        base::json_line(params), request.mutable_apply_config()->mutable_declaration());
    if (!status.ok())
    {
        return base::reason{base::error_kind::unknown_field, status.ToString()};
    }
    auto reply = send_and_wait(std::move(request));
    if (const auto* error = std::get_if<base::reason>(&reply))
    {
        return *error;
    }
    const auto& result = std::get<schema::keeper_reply>(reply).apply_config();
    if (!result.accepted())
    {
        return base::reason{base::error_kind_from(result.error_kind()), result.reason()};
    }
    return message_to_json(result);
}

rpc_result keeper_operator_api::view()
{
    schema::keeper_request request;
    request.mutable_view();
    auto reply = send_and_wait(std::move(request));
    if (const auto* error = std::get_if<base::reason>(&reply))
    {
        return *error;
    }
    return message_to_json(std::get<schema::keeper_reply>(reply).view());
}

rpc_result keeper_operator_api::change_keepers(const Json::Value& params)
{
    schema::keeper_request request;
    auto& change = *request.mutable_change_keepers();
    change.set_name(params["name"].asString());
    change.set_address(params["address"].asString());
    change.set_remove(params["remove"].asBool());
    auto reply = send_and_wait(std::move(request));
    if (const auto* error = std::get_if<base::reason>(&reply))
    {
        return *error;
    }
    const auto& result = std::get<schema::keeper_reply>(reply).change_keepers();
    if (!result.accepted())
    {
        return base::reason{base::error_kind::out_of_range, result.reason()};
    }
    return message_to_json(result);
}

std::variant<schema::keeper_reply, base::reason>
keeper_operator_api::send_and_wait(schema::keeper_request request)
{
    std::future<schema::keeper_reply> reply;
    std::string sender;
    {
        const std::lock_guard lock(mutex_);
        request.set_request_id(++last_request_);
        sender = absl::StrCat(node_transport::operator_prefix, last_request_);
        reply = waiting_[sender].get_future();
    }
    request.set_sender(sender);
    schema::envelope message;
    *message.mutable_keeper_request() = std::move(request);
    node_.loop().post([this, sender, message = std::move(message)]
                      { core_.receive(base::node_name(sender), message); });
    const bool replied = reply.wait_for(reply_timeout) == std::future_status::ready;
    const std::lock_guard lock(mutex_);
    waiting_.erase(sender);
    if (!replied)
    {
        return base::reason{base::error_kind::unreachable,
                            "no quorum answered within 5 s; send the same call again"};
    }
    auto result = reply.get();
    if (result.not_leader())
    {
        return base::reason{base::error_kind::not_leader, result.leader_hint()};
    }
    return result;
}

void keeper_operator_api::deliver(const base::node_name& to, const schema::envelope& reply)
{
    const std::lock_guard lock(mutex_);
    const auto it = waiting_.find(to.value());
    if (it != waiting_.end())
    {
        it->second.set_value(reply.keeper_reply());
        waiting_.erase(it);
    }
}

} // namespace savoryreach::daemon
