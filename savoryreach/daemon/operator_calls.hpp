#ifndef SAVORYREACH_DAEMON_OPERATOR_CALLS_HPP
#define SAVORYREACH_DAEMON_OPERATOR_CALLS_HPP

#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/daemon/json_rpc.hpp"
#include "savoryreach/daemon/node.hpp"
#include "savoryreach/entry/entry_core.hpp"

namespace savoryreach::daemon
{

/// Adds the operators' calls of an entry: describe (subject "agents", "teams" or "jobs") and drain.
void add_operator_calls(json_rpc_server& rpc, node& node, entry::entry_core& core);

/// Adds the operators' call of an agent: drain.
void add_operator_calls(json_rpc_server& rpc, node& node, agent::agent_core& core);

} // namespace savoryreach::daemon

#endif
