// Renewals and the ledger: no disk but for the snapshot file.

#include "performance_test/capacity/cluster.hpp"
#include "performance_test/capacity/measure.hpp"
#include "performance_test/capacity/probes.hpp"
#include "savoryreach/keeper/ledger.hpp"
#include "savoryreach/storage/file_log_storage.hpp"
#include "savoryreach/storage/posix_disk.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <atomic>
#include <filesystem>
#include <iostream>
#include <thread>

namespace savoryreach::capacity
{
namespace
{

constexpr std::int64_t start_ms = 1'796'364'000'000;

schema::command claims_command(std::size_t first, std::size_t count)
{
    schema::command command;
    command.set_proposed_at_ms(start_ms);
    command.mutable_claims()->set_owner_epoch(1);
    for (std::size_t n = 0; n < count; ++n)
    {
        auto& claim = *command.mutable_claims()->add_claims();
        claim.set_submission_id(
            absl::StrCat("00000000-0000-0000-0000-", absl::Dec(first + n, absl::kZeroPad12)));
        claim.set_digest("0123456789abcdef");
    }
    return command;
}

schema::command join_command()
{
    schema::command command;
    command.set_proposed_at_ms(start_ms);
    command.mutable_join_entry()->set_name("entry-1");
    command.mutable_join_entry()->set_process_nonce(1);
    return command;
}

/// Seconds until a snapshot of \p bytes content is durable in \p folder.
double save_seconds(const schema::ledger_snapshot& snapshot, const std::string& folder)
{
    std::filesystem::remove_all(folder);
    storage::posix_disk disk;
    std::atomic<std::uint64_t> durable = 0;
    std::string why;
    auto opened = storage::file_log_storage::open(disk, folder,
                                                  {[&](std::uint64_t ticket) { durable = ticket; },
                                                   [](const std::string&) {
                                                   }},
                                                  {}, why);
    if (!opened)
    {
        std::cerr << why << "\n";
        return 0;
    }
    const double begin = seconds_of(CLOCK_MONOTONIC);
    const auto ticket = opened->storage->save_snapshot(snapshot);
    while (durable < ticket)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const double took = seconds_of(CLOCK_MONOTONIC) - begin;
    opened->storage.reset();
    std::filesystem::remove_all(folder);
    return took;
}

void ledger_claims(std::size_t count, const std::string& folder)
{
    constexpr std::size_t batch = 1000;
    keeper::ledger ledger;
    std::uint64_t index = 1;
    ledger.apply(index, join_command());
    const double before = heap_bytes();
    double apply_s = 0;
    for (std::size_t n = 0; n < count; n += batch)
    {
        const auto command = claims_command(n, batch);
        const double begin = thread_seconds();
        ledger.apply(++index, command);
        apply_s += thread_seconds() - begin;
    }
    const double heap = heap_bytes() - before;
    const double copy_begin = thread_seconds();
    schema::ledger_snapshot snapshot;
    ledger.save(snapshot);
    const double copy_s = thread_seconds() - copy_begin;
    snapshot.set_last_index(index);
    snapshot.set_last_term(1);
    const double snapshot_heap = heap_bytes() - before - heap;
    const auto each = [count](double value)
    {
        return value / static_cast<double>(count);
    };
    absl::PrintF("claims=%d heap_bytes_each=%.1f apply_us_each=%.3f snapshot_bytes_each=%.1f "
                 "snapshot_control_thread_ms=%.1f snapshot_heap_bytes_each=%.0f "
                 "snapshot_durable_s=%.2f\n",
                 count, each(heap), each(1e6 * apply_s),
                 each(static_cast<double>(snapshot.ByteSizeLong())), 1e3 * copy_s,
                 each(snapshot_heap), save_seconds(snapshot, folder));
    std::cout << std::flush;
}

void ledger_agents(std::size_t count)
{
    keeper::ledger ledger;
    std::uint64_t index = 0;
    const double before = heap_bytes();
    const double begin = thread_seconds();
    for (std::size_t n = 0; n < count; ++n)
    {
        schema::command command;
        command.set_proposed_at_ms(start_ms);
        command.mutable_register_agent()->set_name(absl::StrCat("agent-", n % 4100));
        command.mutable_register_agent()->set_process_nonce(n + 1);
        ledger.apply(++index, command);
    }
    const double took = thread_seconds() - begin;
    const double heap = heap_bytes() - before;
    schema::ledger_snapshot snapshot;
    ledger.save(snapshot);
    const auto each = [count](double value)
    {
        return value / static_cast<double>(count);
    };
    absl::PrintF("incarnations=%d heap_bytes_each=%.1f apply_us_each=%.2f "
                 "snapshot_bytes_each=%.1f\n",
                 count, each(heap), each(1e6 * took),
                 each(static_cast<double>(snapshot.ByteSizeLong())));
    std::cout << std::flush;
}

} // namespace

void probe_ledger(const std::vector<std::size_t>& claims, const std::string& folder)
{
    for (const auto it : claims)
    {
        ledger_claims(it, folder);
    }
    for (const std::size_t it : {1'000, 4'100, 8'200, 16'400})
    {
        ledger_agents(it);
    }
}

void probe_renewals(const std::vector<std::size_t>& agents)
{
    // Without entries the agents do nothing but register and renew.
    for (const auto count : agents)
    {
        constexpr double seconds = 20;
        cluster of({0, count, 8, absl::Milliseconds(100)});
        of.run.run_for(absl::Seconds(6));
        const auto before = of.used("keeper");
        const auto agents_before = of.used("agent");
        of.run.run_for(absl::Seconds(seconds));
        const auto used = of.used("keeper") - before;
        const auto agent_used = of.used("agent") - agents_before;
        absl::PrintF("agents=%d renewals_per_s=%.1f keeper_core_us_per_s=%.0f "
                     "keeper_wire_us_per_s=%.0f keeper_in=%.0f keeper_out=%.0f "
                     "agent_core_us_per_s=%.1f agent_bytes_per_s=%.1f\n",
                     count, static_cast<double>(used.received) / seconds,
                     1e6 * used.core_s / seconds, 1e6 * used.wire_s / seconds,
                     static_cast<double>(used.bytes_in) / seconds,
                     static_cast<double>(used.bytes_out) / seconds,
                     1e6 * agent_used.core_s / seconds / static_cast<double>(count),
                     static_cast<double>(agent_used.bytes_in + agent_used.bytes_out) / seconds /
                         static_cast<double>(count));
        std::cout << std::flush;
    }
}

} // namespace savoryreach::capacity
