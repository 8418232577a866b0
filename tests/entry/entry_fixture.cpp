#include "tests/entry/entry_fixture.hpp"

#include "savoryreach/base/digest.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::entry
{
namespace
{

schema::entry_settings settings_of(const std::string& name)
{
    schema::entry_settings settings;
    settings.mutable_common()->set_name(name);
    settings.mutable_common()->add_keepers()->set_name("k1");
    settings.set_max_jobs(100);
    settings.set_max_waiting_tasks(1000);
    return settings;
}

} // namespace

entry_node::entry_node(simulation::fake_network& network, simulation::virtual_clock& clock,
                       base::random_source& random, const std::string& name_of)
    : name(name_of), network_(network), transport_(network.transport_of(base::node_name(name)))
{
    core = std::make_unique<entry_core>(settings_of(name),
                                        entry_ports{clock, random, *transport_, *this, *this});
    network_.attach(base::node_name(name),
                    [this](const base::node_name& from, const schema::envelope& message)
                    { core->receive(from, message); });
}

void entry_node::answer(std::uint64_t request_id, const schema::job_answer& answer)
{
    EXPECT_TRUE(answers.emplace(request_id, answer).second) << "second answer to " << request_id;
}

void entry_node::record(std::string_view kind, std::initializer_list<observe::event_field>)
{
    events.emplace_back(kind);
}

void entry_node::kill()
{
    network_.detach(base::node_name(name));
    core.reset();
}

base::error_kind entry_node::kind_of(std::uint64_t request_id) const
{
    return base::error_kind_from(answers.at(request_id).error_kind());
}

entry_node& entry_fixture::add_entry(const std::string& name)
{
    return *(entries[name] = std::make_unique<entry_node>(network, clock, random, name));
}

fake_agent& entry_fixture::add_agent(const std::string& name, std::uint64_t incarnation)
{
    std::vector<std::string> names;
    for (const auto& [entry, node] : entries)
    {
        names.push_back(entry);
    }
    schema::agent_incarnation known;
    known.set_name(name);
    known.set_incarnation(incarnation);
    keeper.agents.push_back(known);
    agents[name] = std::make_unique<fake_agent>(network, clock, name, incarnation, names);
    return *agents[name];
}

void entry_fixture::run(absl::Duration time)
{
    const auto end = clock.now() + time;
    while (clock.now() < end)
    {
        clock.advance(absl::Milliseconds(1));
        network.deliver_due();
        for (auto& [name, it] : agents)
        {
            it->tick();
        }
        for (auto& [name, it] : entries)
        {
            if (it->core != nullptr)
            {
                it->core->tick();
            }
        }
    }
}

entry_node& entry_fixture::start_one()
{
    auto& entry = add_entry("e1");
    run(absl::Milliseconds(100));
    add_agent("a1");
    run(absl::Milliseconds(100));
    return entry;
}

schema::submission entry_fixture::make(const std::string& id, int tasks, bool idempotent)
{
    schema::submission it;
    it.set_schema_version(1);
    it.set_submission_id(id);
    it.set_team("press");
    it.set_kind("proof");
    it.set_idempotent(idempotent);
    it.set_time_budget_ms(60'000);
    for (int n = 0; n < tasks; ++n)
    {
        it.add_tasks()->set_payload(absl::StrCat(n));
    }
    return it;
}

std::uint64_t entry_fixture::submit(entry_node& entry, const schema::submission& submission,
                                    absl::Duration within, bool wait)
{
    entry.core->submit(++last_request, submission, wait, clock.now() + within);
    return last_request;
}

std::string entry_fixture::id_with_home(const std::string& home, const std::string& prefix,
                                        const std::vector<std::string>& entries) const
{
    for (int n = 0;; ++n)
    {
        auto id = absl::StrCat(prefix, n);
        const auto weight = [&id](const std::string& entry)
        {
            return base::stable_hash(id, base::stable_hash(entry));
        };
        const bool is_home = std::ranges::all_of(entries, [&](const std::string& it)
                                                 { return weight(it) <= weight(home); });
        if (is_home)
        {
            return id;
        }
    }
}

} // namespace savoryreach::entry
