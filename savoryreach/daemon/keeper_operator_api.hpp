#ifndef SAVORYREACH_DAEMON_KEEPER_OPERATOR_API_HPP
#define SAVORYREACH_DAEMON_KEEPER_OPERATOR_API_HPP

#include "savoryreach/daemon/json_rpc.hpp"
#include "savoryreach/daemon/node.hpp"
#include "savoryreach/keeper/keeper_core.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <future>
#include <mutex>

namespace savoryreach::daemon
{

/// The operators' calls to a keeper: apply, view, change_keepers. Each becomes a keeper_request to
/// the core, so that requests of operators and of processes are subject to the same rules.
class keeper_operator_api
{
public:
    keeper_operator_api(node& node, keeper::keeper_core& core);

private:
    rpc_result apply(const Json::Value& params);
    rpc_result view();
    rpc_result change_keepers(const Json::Value& params);
    /// Sends the request to the core and waits for its reply.
    std::variant<schema::keeper_reply, base::reason> send_and_wait(schema::keeper_request request);
    void deliver(const base::node_name& to, const schema::envelope& reply);

    node& node_;
    keeper::keeper_core& core_; ///< used on the control thread only
    json_rpc_server rpc_;
    std::mutex mutex_; ///< guards all below
    std::uint64_t last_request_ = 0;
    absl::flat_hash_map<std::string, std::promise<schema::keeper_reply>> waiting_; ///< by sender
};

} // namespace savoryreach::daemon

#endif
