#include "savoryreach/daemon/operator_calls.hpp"

namespace savoryreach::daemon
{
namespace
{

/// Starts to drain a core and returns whether it has finished; may be called repeatedly.
template <typename Core>
json_rpc_server::method drain_call(node& node, Core& core)
{
    return [&node, &core](const Json::Value&) -> rpc_result
    {
        Json::Value result;
        node.loop().run_and_wait(
            [&]
            {
                core.begin_drain();
                result["drained"] = core.is_drained();
            });
        return result;
    };
}

} // namespace

void add_operator_calls(json_rpc_server& rpc, node& node, entry::entry_core& core)
{
    rpc.add("drain", drain_call(node, core));
    rpc.add("describe",
            [&node, &core](const Json::Value& params) -> rpc_result
            {
                std::string text;
                node.loop().run_and_wait([&]
                                         { text = core.describe(params["subject"].asString()); });
                return Json::Value(text);
            });
}

void add_operator_calls(json_rpc_server& rpc, node& node, agent::agent_core& core)
{
    rpc.add("drain", drain_call(node, core));
}

} // namespace savoryreach::daemon
