#include "daemons/command_line.hpp"
#include "savoryreach/daemon/keeper_operator_api.hpp"
#include "savoryreach/daemon/status_pages.hpp"
#include "savoryreach/keeper/keeper_core.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/posix_disk.hpp"
#include "savoryreach/storage/reopen_schedule.hpp"

#include <string>
#include <utility>
#include <vector>

namespace savoryreach
{
namespace
{

void log_repairs(const std::vector<std::string>& repairs)
{
    for (const auto& it : repairs)
    {
        daemon::log(daemon::log_level::warning, "storage_repaired", {{"detail", it}});
    }
}

int serve(const schema::keeper_settings& settings)
{
    daemon::node node(settings.common(), "keeper", {});
    keeper::keeper_core* running_core = nullptr;
    storage::posix_disk disk;
    storage::reopen_schedule reopen_schedule; // used on the control thread
    std::string last_reason;
    using recovered_content = storage::file_log_storage::recovered_content;
    auto opened = storage::file_log_storage::open(
        disk, settings.data_folder(),
        {.persisted = [&](std::uint64_t ticket)
         { node.loop().post([&, ticket] { running_core->persisted(ticket); }); },
         .failed =
             [&](std::string error)
         {
             node.loop().post(
                 [&, error]
                 {
                     if (!reopen_schedule.failed_since())
                     {
                         daemon::log(daemon::log_level::error, "storage_failed",
                                     {{"reason", error}});
                         running_core->storage_failed(error);
                     }
                     reopen_schedule.on_failure(node.clock().now());
                 });
         },
         .reopened =
             [&](recovered_content content)
         {
             node.loop().post(
                 [&, content = std::move(content)]() mutable
                 {
                     log_repairs(content.repairs);
                     running_core->storage_reopened(std::move(content.state));
                     daemon::log(daemon::log_level::warning, "storage_reopened",
                                 {{"attempts", std::to_string(reopen_schedule.attempts())}});
                     reopen_schedule.on_reopened();
                 });
         }},
        {}, last_reason);
    if (!opened)
    {
        daemon::log(daemon::log_level::error, "start_failed", {{"reason", last_reason}});
        return 1;
    }
    log_repairs(opened->content.repairs);
    keeper::keeper_core core(
        settings, std::move(opened->content.state),
        {node.clock(), node.random(), node.transport(), *opened->storage, node.events()});
    running_core = &core;
    const daemon::keeper_operator_api operators(node, core);
    daemon::add_status_pages(node, "keeper", core);
    const auto error = node.start([&core](const base::node_name& from, const schema::envelope& it)
                                  { core.receive(from, it); },
                                  [&]
                                  {
                                      if (reopen_schedule.begin_attempt(node.clock().now()))
                                      {
                                          opened->storage->reopen();
                                      }
                                      core.tick();
                                  });
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
