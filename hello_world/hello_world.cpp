// The whole path in one process: a keeper, an entry and an agent answer one job of two tasks.
#include "savoryreach/agent/agent_core.hpp"
#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/base/system_clock.hpp"
#include "savoryreach/daemon/settings.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "savoryreach/keeper/keeper_core.hpp"

#include <iostream>

using namespace savoryreach;

/// All interfaces of one process: a queue for the network, a disk that keeps nothing, an endpoint
/// that greets the payload, and a caller that prints the answer.
struct local_ports : net::transport, keeper::log_storage, agent::endpoint_port, entry::caller_port
{
    explicit local_ports(std::string name) : own(std::move(name)) {}
    void send(const base::node_name& to, schema::envelope it) override
    {
        sent.emplace_back(to, std::move(it));
    }
    void learn_address(const base::node_name&, const std::string&) override {}
    std::uint64_t append(std::vector<schema::log_entry>) override { return ++last_write; }
    std::uint64_t truncate_from(std::uint64_t) override { return ++last_write; }
    std::uint64_t save_hard_state(const schema::hard_state&) override { return ++last_write; }
    std::uint64_t save_snapshot(const schema::ledger_snapshot&) override { return ++last_write; }
    void run(const agent::run_request& request) override { runs.push_back(request); }
    void stop(std::uint64_t) override {}
    void answer(std::uint64_t, const schema::job_answer& answer) override
    {
        std::cout << answer.ShortDebugString() << "\n";
        answered = true;
    }

    base::node_name own;
    std::vector<std::pair<base::node_name, schema::envelope>> sent;
    std::uint64_t last_write = 0;
    std::vector<agent::run_request> runs;
    bool answered = false;
};

template <typename Settings>
Settings settings_of(const std::string& name, const std::string& more)
{
    Settings it;
    std::vector<std::string> errors;
    const auto text = R"({"common": {"cluster": "hello", "data_centre": "koper",
        "listen": "127.0.0.1:1", "http_listen": "127.0.0.1:2",
        "keepers": [{"name": "keeper", "address": "127.0.0.1:1"}], "name": ")" +
                      name + "\"}" + more + "}";
    return daemon::parse_settings(text, name, it, errors) ? it
                                                          : throw std::runtime_error(errors[0]);
}

int main()
{
    const base::system_clock clock;
    base::seeded_random random(1);
    observe::null_event_sink events;
    local_ports k("keeper");
    local_ports e("entry");
    local_ports a("agent");
    keeper::keeper_core keeper(
        settings_of<schema::keeper_settings>("keeper", R"(, "data_folder": "unused")"), {},
        {clock, random, k, k, events});
    entry::entry_core entry(settings_of<schema::entry_settings>("entry", ""),
                            {clock, random, e, e, events});
    agent::agent_core agent(
        settings_of<schema::agent_settings>("agent", R"(, "endpoint": "127.0.0.1:3", "slots": 2)"),
        {clock, random, a, a, events});
    schema::submission job;
    job.set_submission_id("hello");
    job.set_time_budget_ms(1000);
    job.add_tasks()->set_payload("wardrobe");
    job.add_tasks()->set_payload("print room");
    for (bool submitted = false; !e.answered; keeper.tick(), entry.tick(), agent.tick())
    {
        if (!submitted && entry.is_ready() && entry.status().agents > 0)
        {
            entry.submit(1, job, true, clock.now() + absl::Seconds(1));
            submitted = true;
        }
        keeper.persisted(k.last_write);
        for (const auto& it : std::exchange(a.runs, {}))
        {
            agent.run_ended(it.run_id,
                            {agent::run_outcome::result::succeeded, "hello " + it.payload, ""});
        }
        for (auto* from : {&k, &e, &a})
        {
            for (const auto& [to, message] : std::exchange(from->sent, {}))
            {
                to == k.own   ? keeper.receive(from->own, message)
                : to == e.own ? entry.receive(from->own, message)
                              : agent.receive(from->own, message);
            }
        }
    }
}
