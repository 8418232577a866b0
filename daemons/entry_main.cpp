#include "daemons/command_line.hpp"
#include "savoryreach/daemon/answer_waiters.hpp"
#include "savoryreach/daemon/caller_api.hpp"
#include "savoryreach/daemon/operator_calls.hpp"
#include "savoryreach/daemon/status_pages.hpp"
#include "savoryreach/entry/entry_core.hpp"

namespace savoryreach
{
namespace
{

int serve(const schema::entry_settings& settings)
{
    daemon::answer_waiters waiters;
    daemon::node node(settings.common(), "entry",
                      {.max_connections = settings.max_connections(),
                       .max_body_bytes = settings.max_body_bytes()});
    entry::entry_core core(settings,
                           {node.clock(), node.random(), node.transport(), waiters, node.events()});
    const daemon::caller_api callers(node.http(), node.loop(), core, waiters);
    daemon::json_rpc_server rpc(node.http());
    daemon::add_operator_calls(rpc, node, core);
    daemon::add_status_pages(node, "entry", core);
    const auto error = node.start([&core](const base::node_name& from, const schema::envelope& it)
                                  { core.receive(from, it); },
                                  [&]
                                  {
                                      core.tick();
                                      node.set_incarnation(core.status().epoch);
                                  });
    const int code = daemons::run_until_stopped(node, core, error);
    node.stop();
    return code;
}

} // namespace
} // namespace savoryreach

int main(int argc, char** argv)
{
    return savoryreach::daemons::run_daemon<savoryreach::schema::entry_settings>(
        argc, argv, "entry host process of savoryreach", savoryreach::serve);
}
