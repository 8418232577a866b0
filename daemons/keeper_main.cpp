#include "daemons/command_line.hpp"
#include "savoryreach/daemon/keeper_operator_api.hpp"
#include "savoryreach/daemon/status_pages.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/posix_disk.hpp"

namespace savoryreach
{
namespace
{

int serve(const schema::keeper_settings& settings)
{
    daemon::node node(settings.common(), "keeper", {});
    keeper::keeper_core* running_core = nullptr;
    storage::posix_disk disk;
    std::string last_reason;
    auto opened = storage::file_log_storage::open(
        disk, settings.data_folder(),
        {.persisted = [&](std::uint64_t ticket)
         { node.loop().post([&, ticket] { running_core->persisted(ticket); }); },
         .failed =
             [&](std::string error)
         {
             daemon::log(daemon::log_level::error, "storage_failed", {{"reason", error}});
             node.loop().post([&, error] { running_core->storage_failed(error); });
         }},
        {}, last_reason);
    if (!opened)
    {
        daemon::log(daemon::log_level::error, "start_failed", {{"reason", last_reason}});
        return 1;
    }
    for (const auto& it : opened->repairs)
    {
        daemon::log(daemon::log_level::warning, "storage_repaired", {{"detail", it}});
    }
    keeper::keeper_core core(
        settings, std::move(opened->state),
        {node.clock(), node.random(), node.transport(), *opened->storage, node.events()});
    running_core = &core;
    const daemon::keeper_operator_api operators(node, core);
    daemon::add_status_pages(node, "keeper", core);
    const auto error = node.start([&core](const base::node_name& from, const schema::envelope& it)
                                  { core.receive(from, it); },
                                  [&core] { core.tick(); });
    const int code = daemons::run_until_stopped(node, core, error);
    node.stop();
    opened->storage.reset();
    return code;
}

} // namespace
} // namespace savoryreach

int main(int argc, char** argv)
{
    return savoryreach::daemons::run_daemon<savoryreach::schema::keeper_settings>(
        argc, argv, "keeper process of savoryreach", savoryreach::serve);
}
