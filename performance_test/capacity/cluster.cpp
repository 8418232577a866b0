#include "performance_test/capacity/cluster.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace savoryreach::capacity
{
namespace
{

constexpr std::uint32_t payload_bytes = 64;
constexpr std::uint32_t longest_budget_ms = 600'000;

schema::submission make_submission(std::uint64_t number, std::uint32_t tasks,
                                   absl::Duration run_time)
{
    schema::submission job;
    job.set_schema_version(2);
    // 36 characters, as a UUID has.
    job.set_submission_id(
        absl::StrCat("00000000-0000-0000-0000-", absl::Dec(number, absl::kZeroPad12)));
    job.set_team(absl::StrCat("team-", number % 29));
    job.set_kind("preview");
    job.set_idempotent(true);
    job.set_time_budget_ms(longest_budget_ms);
    for (std::uint32_t n = 0; n < tasks; ++n)
    {
        auto* task = job.add_tasks();
        task->set_payload(std::string(payload_bytes, 'x'));
        task->set_declared_run_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(run_time)));
    }
    return job;
}

} // namespace

schema::common_settings common_settings(const std::string& name)
{
    schema::common_settings settings;
    settings.set_cluster("capacity");
    settings.set_name(name);
    settings.set_data_centre("ljubljana");
    settings.set_listen("192.168.100.100:7101");
    auto* keeper = settings.add_keepers();
    keeper->set_name("keeper-1");
    keeper->set_address("192.168.100.100:7101");
    return settings;
}

void timed_endpoint::run(const agent::run_request& request)
{
    runs_.emplace(clock_.now() + run_time_, std::pair(request.run_id, request.payload));
    node_.wake_at = std::min(node_.wake_at, runs_.begin()->first);
}

void timed_endpoint::end_due(agent::agent_core& core)
{
    while (!runs_.empty() && runs_.begin()->first <= clock_.now())
    {
        auto [run_id, payload] = std::move(runs_.begin()->second);
        runs_.erase(runs_.begin());
        core.run_ended(run_id, {agent::run_outcome::result::succeeded, std::move(payload), ""});
    }
    if (!runs_.empty())
    {
        node_.wake_at = std::min(node_.wake_at, runs_.begin()->first);
    }
}

void answer_counter::answer(std::uint64_t, const schema::job_answer& answer)
{
    if (answer.state() == schema::job_state_complete)
    {
        ++complete;
        on_complete();
    }
    else if (answer.state() == schema::job_state_failed)
    {
        ++failed;
        last_reason = answer.reason();
    }
}

cluster::cluster(const cluster_size& size) : size_(size)
{
    add_keeper();
    for (std::size_t n = 1; n <= size_.entries; ++n)
    {
        add_entry(n);
    }
    run.run_for(absl::Seconds(2));
    for (std::size_t n = 1; n <= size_.agents; ++n)
    {
        add_agent(n);
    }
}

void cluster::add_keeper()
{
    auto& node = run.add("keeper-1");
    nodes_.push_back(&node);
    schema::keeper_settings settings;
    *settings.mutable_common() = common_settings("keeper-1");
    keeper_.disk = std::make_unique<simulation::fake_disk>(run.clock());
    keeper_.core = std::make_unique<keeper::keeper_core>(
        settings, keeper::stored_state{},
        keeper::keeper_ports{run.clock(), random_, *node.transport, *keeper_.disk, events_});
    node.receive = [this](const base::node_name& from, const schema::envelope& it)
    {
        keeper_.core->receive(from, it);
    };
    node.tick = [this]
    {
        if (const auto ticket = keeper_.disk->finish_due())
        {
            keeper_.core->persisted(*ticket);
        }
        keeper_.core->tick();
    };
}

void cluster::add_entry(std::size_t number)
{
    const auto name = absl::StrCat("entry-", number);
    auto it = std::make_unique<entry_process>();
    it->node = &run.add(name);
    nodes_.push_back(it->node);
    it->callers = std::make_unique<answer_counter>();
    schema::entry_settings settings;
    *settings.mutable_common() = common_settings(name);
    it->core = std::make_unique<entry::entry_core>(
        settings,
        entry::entry_ports{run.clock(), random_, *it->node->transport, *it->callers, events_});
    auto* core = it->core.get();
    it->node->receive = [core](const base::node_name& from, const schema::envelope& message)
    {
        core->receive(from, message);
    };
    it->node->tick = [core]
    {
        core->tick();
    };
    entries_.push_back(std::move(it));
}

void cluster::add_agent(std::size_t number)
{
    const auto name = absl::StrCat("agent-", absl::Dec(number, absl::kZeroPad4));
    auto it = std::make_unique<agent_process>();
    it->node = &run.add(name);
    nodes_.push_back(it->node);
    it->endpoint = std::make_unique<timed_endpoint>(run.clock(), *it->node, size_.run_time);
    schema::agent_settings settings;
    *settings.mutable_common() = common_settings(name);
    settings.set_slots(size_.slots);
    it->core = std::make_unique<agent::agent_core>(
        settings,
        agent::agent_ports{run.clock(), random_, *it->node->transport, *it->endpoint, events_});
    auto* process = it.get();
    it->node->receive = [process](const base::node_name& from, const schema::envelope& message)
    {
        process->core->receive(from, message);
    };
    it->node->tick = [process]
    {
        process->endpoint->end_due(*process->core);
        process->core->tick();
    };
    agents_.push_back(std::move(it));
}

void cluster::settle()
{
    const auto is_settled = [this]
    {
        return std::ranges::all_of(agents_, [this](const auto& it)
                                   { return it->core->status().sessions == size_.entries; }) &&
               std::ranges::all_of(entries_, [this](const auto& it)
                                   { return it->core->status().agents == size_.agents; });
    };
    if (!run.run_until(is_settled, absl::Seconds(30)))
    {
        std::cerr << "the cluster did not settle\n";
        std::exit(1);
    }
    run.run_for(absl::Seconds(1));
}

void cluster::submit(entry_process& to, std::uint32_t tasks)
{
    to.core->submit(++last_request_, make_submission(++last_job_, tasks, size_.run_time), true,
                    run.clock().now() + absl::Milliseconds(longest_budget_ms));
}

void cluster::load(std::size_t jobs, std::uint32_t tasks)
{
    for (auto& it : entries_)
    {
        auto* entry = it.get();
        entry->callers->on_complete = [this, entry, tasks]
        {
            submit(*entry, tasks);
        };
        for (std::size_t n = 0; n < jobs; ++n)
        {
            submit(*entry, tasks);
        }
    }
}

void cluster::declare(std::size_t count, const std::string& prefix)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        schema::envelope message;
        auto& request = *message.mutable_keeper_request();
        request.set_request_id(++last_request_);
        request.set_sender("operator");
        auto& declaration = *request.mutable_apply_config()->mutable_declaration();
        declaration.set_schema_version(2);
        declaration.set_name(absl::StrCat(prefix, "/", n));
        declaration.set_version(1);
        auto& quota = *declaration.mutable_team_quota();
        quota.set_team(absl::StrCat(prefix, "-", n));
        quota.set_weight(10);
        quota.set_max_slots(100);
        run.send(base::node_name("operator"), base::node_name("keeper-1"), std::move(message));
    }
}

usage cluster::used(const std::string& role) const
{
    usage sum;
    for (const auto* it : nodes_)
    {
        if (absl::StartsWith(it->name.value(), role))
        {
            sum += it->used;
        }
    }
    return sum;
}

std::uint64_t cluster::starts() const
{
    std::uint64_t sum = 0;
    for (const auto& it : entries_)
    {
        sum += it->core->status().starts;
    }
    return sum;
}

std::uint64_t cluster::completed() const
{
    std::uint64_t sum = 0;
    for (const auto& it : entries_)
    {
        sum += it->callers->complete;
    }
    return sum;
}

bool cluster::agents_have(std::uint64_t config_revision) const
{
    return std::ranges::all_of(agents_, [=](const auto& it)
                               { return it->core->status().config_revision >= config_revision; });
}

bool cluster::entries_have(std::uint64_t config_revision) const
{
    return std::ranges::all_of(entries_, [=](const auto& it)
                               { return it->core->status().config_revision >= config_revision; });
}

} // namespace savoryreach::capacity
