#include "daemons/command_line.hpp"
#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/daemon/http_endpoint.hpp"
#include "savoryreach/daemon/operator_calls.hpp"
#include "savoryreach/daemon/status_pages.hpp"
#include "savoryreach/net/address.hpp"

namespace savoryreach
{
namespace
{

int serve(const schema::agent_settings& settings)
{
    daemon::node node(settings.common(), "agent", {});
    agent::agent_core* running_core = nullptr;
    const auto address = net::parse_address(settings.endpoint());
    daemon::http_endpoint endpoint(
        address->address().to_string(), address->port(), settings.slots(),
        [&](std::uint64_t run_id, const agent::run_outcome& outcome)
        { node.loop().post([&, run_id, outcome] { running_core->run_ended(run_id, outcome); }); });
    agent::agent_core core(
        settings, {node.clock(), node.random(), node.transport(), endpoint, node.events()});
    running_core = &core;
    daemon::json_rpc_server rpc(node.http());
    daemon::add_operator_calls(rpc, node, core);
    daemon::add_status_pages(node, "agent", core);
    const auto error = node.start([&core](const base::node_name& from, const schema::envelope& it)
                                  { core.receive(from, it); },
                                  [&]
                                  {
                                      core.tick();
                                      node.set_incarnation(core.status().incarnation);
                                  });
    const int code = daemons::run_until_stopped(node, core, error);
    endpoint.close();
    node.stop();
    return code;
}

} // namespace
} // namespace savoryreach

int main(int argc, char** argv)
{
    return savoryreach::daemons::run_daemon<savoryreach::schema::agent_settings>(
        argc, argv, "endpoint host process of savoryreach", savoryreach::serve);
}
