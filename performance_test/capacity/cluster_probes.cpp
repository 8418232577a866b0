#include "performance_test/capacity/cluster.hpp"
#include "performance_test/capacity/probes.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace savoryreach::capacity
{
namespace
{

constexpr auto idle_time = absl::Seconds(8);
constexpr auto warm_up = absl::Seconds(2);

void print_usage(const std::string& role, const usage& used, double seconds, double nodes)
{
    const double per = seconds * nodes;
    const auto rate = [per](auto value)
    {
        return static_cast<double>(value) / per;
    };
    absl::PrintF(" %s_core_us=%.1f %s_wire_us=%.1f %s_sent=%.2f %s_received=%.2f %s_out=%.0f "
                 "%s_in=%.0f",
                 role, 1e6 * rate(used.core_s), role, 1e6 * rate(used.wire_s), role,
                 rate(used.sent), role, rate(used.received), role, rate(used.bytes_out), role,
                 rate(used.bytes_in));
}

struct phase_result
{
    usage keeper;
    usage entry;
    usage agent;
    std::uint64_t starts = 0;
    std::uint64_t completed = 0;
};

phase_result run_phase(cluster& of, absl::Duration time)
{
    const phase_result before{of.used("keeper"), of.used("entry"), of.used("agent"), of.starts(),
                              of.completed()};
    of.run.run_for(time);
    return {of.used("keeper") - before.keeper, of.used("entry") - before.entry,
            of.used("agent") - before.agent, of.starts() - before.starts,
            of.completed() - before.completed};
}

/// Prints the rates of each role per process and second.
void print_phase(const std::string& phase, const cluster_size& size, const phase_result& it,
                 absl::Duration time)
{
    const double seconds = absl::ToDoubleSeconds(time);
    absl::PrintF("phase=%s entries=%d agents=%d starts_per_s=%.0f jobs_per_s=%.1f", phase,
                 size.entries, size.agents, static_cast<double>(it.starts) / seconds,
                 static_cast<double>(it.completed) / seconds);
    print_usage("keeper", it.keeper, seconds, 1);
    print_usage("entry", it.entry, seconds, static_cast<double>(size.entries));
    print_usage("agent", it.agent, seconds, static_cast<double>(size.agents));
    std::cout << std::endl;
}

/// Prints what one start costs beyond the idle cluster.
void print_per_start(const cluster_size& size, const phase_result& idle, double idle_s,
                     const phase_result& busy, double busy_s)
{
    const auto starts = static_cast<double>(busy.starts);
    const auto per_start = [&](auto busy_value, auto idle_value)
    {
        return (static_cast<double>(busy_value) -
                static_cast<double>(idle_value) * busy_s / idle_s) /
               starts;
    };
    const auto print = [&](const char* role, const usage& b, const usage& i)
    {
        absl::PrintF(" %s_core_us=%.2f %s_wire_us=%.2f %s_messages=%.3f %s_bytes=%.0f", role,
                     1e6 * per_start(b.core_s, i.core_s), role, 1e6 * per_start(b.wire_s, i.wire_s),
                     role, per_start(b.sent + b.received, i.sent + i.received), role,
                     per_start(b.bytes_out + b.bytes_in, i.bytes_out + i.bytes_in));
    };
    absl::PrintF("per_start entries=%d agents=%d", size.entries, size.agents);
    print("keeper", busy.keeper, idle.keeper);
    print("entry", busy.entry, idle.entry);
    print("agent", busy.agent, idle.agent);
    std::cout << std::endl;
}

void run_cluster(const cluster_size& size, std::uint32_t tasks)
{
    constexpr auto busy_time = absl::Seconds(3);
    cluster of(size);
    of.settle();
    const auto idle = run_phase(of, idle_time);
    print_phase("idle", size, idle, idle_time);
    const auto slots = size.agents * size.slots;
    // Twice the slots in waiting tasks keep every slot busy.
    of.load(std::max<std::size_t>(4, 3 * slots / tasks / size.entries), tasks);
    of.run.run_for(warm_up);
    const auto busy = run_phase(of, busy_time);
    print_phase("busy", size, busy, busy_time);
    print_per_start(size, idle, absl::ToDoubleSeconds(idle_time), busy,
                    absl::ToDoubleSeconds(busy_time));
}

} // namespace

void probe_cluster(const std::vector<std::size_t>& agents, std::size_t entries, double run_ms,
                   std::uint32_t tasks)
{
    for (const auto it : agents)
    {
        run_cluster({entries, it, 8, absl::Milliseconds(run_ms)}, tasks);
    }
}

void probe_agent(const std::vector<std::size_t>& entries, double run_ms)
{
    for (const auto it : entries)
    {
        run_cluster({it, 1, 8, absl::Milliseconds(run_ms)}, 20);
    }
}

void probe_config(const std::vector<std::size_t>& agents, std::size_t entries, std::size_t changes)
{
    for (const auto count : agents)
    {
        const cluster_size size{entries, count, 8, absl::Milliseconds(100)};
        cluster of(size);
        of.settle();
        const auto idle = run_phase(of, absl::Seconds(4));
        const auto begin = of.run.clock().now();
        const auto before = of.used("agent");
        of.declare(changes, "changed");
        of.run.run_until([&] { return of.entries_have(changes); }, absl::Seconds(20));
        const auto at_entries = of.run.clock().now() - begin;
        of.run.run_until([&] { return of.agents_have(changes); }, absl::Seconds(20));
        const auto at_agents = of.run.clock().now() - begin;
        of.run.run_for(absl::Seconds(4) - at_agents);
        const auto changed = of.used("agent") - before;
        const auto bytes = [](const usage& it)
        {
            return static_cast<double>(it.bytes_in + it.bytes_out);
        };
        absl::PrintF("agents=%d entries=%d changes=%d at_entries_ms=%.1f at_agents_ms=%.1f "
                     "bytes_per_agent=%.0f\n",
                     count, entries, changes, absl::ToDoubleMilliseconds(at_entries),
                     absl::ToDoubleMilliseconds(at_agents),
                     (bytes(changed) - bytes(idle.agent)) / static_cast<double>(count));
        std::cout << std::flush;
    }
}

void probe_declarations(const std::vector<std::size_t>& declarations, std::size_t agents)
{
    for (const auto count : declarations)
    {
        const cluster_size size{1, agents, 8, absl::Milliseconds(100)};
        cluster of(size);
        of.settle();
        const auto before = of.used("agent");
        of.declare(count, "team");
        of.run.run_until([&] { return of.agents_have(count); }, absl::Seconds(30));
        const auto spread = of.used("agent") - before;
        const auto idle = run_phase(of, idle_time);
        absl::PrintF("declarations=%d bytes_in_per_agent=%.0f ", count,
                     static_cast<double>(spread.bytes_in) / static_cast<double>(agents));
        print_phase("idle", size, idle, idle_time);
    }
}

} // namespace savoryreach::capacity
