#include "tests/agent/scripted_cluster.hpp"

#include <algorithm>

namespace savoryreach::agent
{
namespace
{

const base::node_name agent_name("agent");
const base::node_name leader("k1");

schema::agent_settings make_settings(std::uint32_t slots)
{
    schema::agent_settings settings;
    settings.mutable_common()->set_name(agent_name.value());
    for (const auto* keeper : {"k0", "k1", "k2"})
    {
        settings.mutable_common()->add_keepers()->set_name(keeper);
    }
    settings.set_slots(slots);
    return settings;
}

} // namespace

scripted_cluster::scripted_cluster(std::uint64_t seed, std::uint32_t slots)
    : random(seed), network(clock, random)
{
    keeper_view.set_membership_revision(1);
    for (const auto* name : {"k0", "k1", "k2"})
    {
        const base::node_name keeper(name);
        network.attach(keeper, [this, keeper](const auto&, const auto& message)
                       { on_keeper_request(keeper, message.keeper_request()); });
    }
    network.attach(agent_name, [this](const auto& from, const auto& message)
                   { agent->receive(from, message); });
    agent_transport = network.transport_of(agent_name);
    agent = std::make_unique<agent_core>(
        make_settings(slots), agent_ports{clock, random, *agent_transport, endpoint, events});
}

scripted_entry& scripted_cluster::add_entry(const std::string& name, std::uint64_t epoch)
{
    keeper_view.set_membership_revision(keeper_view.membership_revision() + 1);
    auto* member = keeper_view.add_entries();
    member->set_name(name);
    member->set_epoch(epoch);
    auto& entry = entries[name];
    entry = scripted_entry{};
    entry.name = base::node_name(name);
    entry.epoch = epoch;
    network.attach(entry.name, [this, name](const auto&, const auto& message)
                   { on_entry_message(entries[name], message); });
    return entry;
}

scripted_entry& scripted_cluster::open_entry(const std::string& name, std::uint64_t epoch)
{
    auto& entry = add_entry(name, epoch);
    run_for(absl::Seconds(6));
    return entry;
}

void scripted_cluster::fence_in_view(std::uint64_t epoch)
{
    keeper_view.set_membership_revision(keeper_view.membership_revision() + 1);
    keeper_view.add_fenced_epochs(epoch);
    auto& members = *keeper_view.mutable_entries();
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [epoch](const auto& e) { return e.epoch() == epoch; }),
                  members.end());
}

void scripted_cluster::on_keeper_request(const base::node_name& keeper,
                                         const schema::keeper_request& request)
{
    schema::envelope message;
    auto& reply = *message.mutable_keeper_reply();
    reply.set_request_id(request.request_id());
    if (keeper != leader)
    {
        reply.set_not_leader(true);
        reply.set_leader_hint(leader.value());
    }
    else if (request.has_register_agent())
    {
        keeper_requests.emplace_back("register");
        process_nonces.push_back(request.register_agent().process_nonce());
        reply.mutable_register_agent()->set_incarnation(incarnation);
        *reply.mutable_register_agent()->mutable_view() = keeper_view;
    }
    else if (request.has_renew_agent())
    {
        keeper_requests.emplace_back("renew");
        reply.mutable_renew_agent()->set_expired(std::exchange(expire_next_renewal, false));
        *reply.mutable_renew_agent()->mutable_view() = keeper_view;
        incarnation += reply.renew_agent().expired() ? 1 : 0;
    }
    else if (request.has_leave_agent())
    {
        keeper_requests.emplace_back("leave");
        reply.mutable_leave_agent();
    }
    network.send(keeper, agent_name, std::move(message));
}

void scripted_cluster::on_entry_message(scripted_entry& entry, const schema::envelope& message)
{
    if (message.has_agent_hello())
    {
        const auto& hello = message.agent_hello();
        entry.hellos.push_back(hello);
        if (entry.lease_ms == 0)
        {
            return;
        }
        if (!entry.session || entry.session->incarnation() != hello.incarnation())
        {
            entry.session = std::make_unique<net::session>(entry.epoch, hello.incarnation());
        }
        schema::envelope envelope;
        auto& reply = *envelope.mutable_agent_hello_reply();
        reply.set_entry(entry.name.value());
        reply.set_epoch(entry.epoch);
        reply.set_incarnation(hello.incarnation());
        reply.set_request_id(hello.request_id());
        reply.set_lease_ms(entry.lease_ms);
        *reply.mutable_view() = entry.view;
        reply.set_demand(100);
        lease_ends[entry.epoch] = clock.now() + absl::Milliseconds(entry.lease_ms);
        network.send(entry.name, agent_name, std::move(envelope));
    }
    else if (message.has_session() && entry.session)
    {
        for (const auto& item : entry.session->receive(message.session(), clock.now()))
        {
            on_session_item(entry, item);
        }
    }
    else if (message.has_inquiry_reply())
    {
        entry.inquiry_replies.push_back(message.inquiry_reply());
    }
}

void scripted_cluster::on_session_item(scripted_entry& entry, const schema::session_item& item)
{
    if (item.has_result())
    {
        entry.results.push_back(item.result());
    }
    else if (item.has_recall_result())
    {
        entry.recall_results.push_back(item.recall_result());
    }
    else if (item.has_credit())
    {
        entry.credit_limit = std::max(entry.credit_limit, item.credit().limit());
    }
}

void scripted_cluster::send_item(scripted_entry& entry, schema::session_item item)
{
    entry.session->push(std::move(item));
}

void scripted_cluster::send_start(scripted_entry& entry, const schema::task_start& start)
{
    schema::session_item item;
    *item.mutable_start() = start;
    send_item(entry, std::move(item));
}

void scripted_cluster::send_recall(scripted_entry& entry, const std::string& submission,
                                   std::uint32_t task)
{
    schema::session_item item;
    item.mutable_recall()->set_submission_id(submission);
    item.mutable_recall()->set_task(task);
    send_item(entry, std::move(item));
}

void scripted_cluster::send_inquiry(const scripted_entry& asker, std::uint64_t dead_epoch)
{
    schema::envelope message;
    auto& inquiry = *message.mutable_inquiry();
    inquiry.set_request_id(dead_epoch * 10);
    inquiry.set_dead_epoch(dead_epoch);
    inquiry.set_asker(asker.name.value());
    inquiry.set_asker_epoch(asker.epoch);
    network.send(asker.name, agent_name, std::move(message));
}

void scripted_cluster::end_run(std::size_t run, const run_outcome& outcome)
{
    agent->run_ended(endpoint.runs.at(run).run_id, outcome);
}

void scripted_cluster::step()
{
    clock.advance(absl::Milliseconds(1));
    network.deliver_due();
    agent->tick();
    for (auto& [name, entry] : entries)
    {
        while (entry.session)
        {
            auto frame = entry.session->poll(clock.now());
            if (!frame)
            {
                break;
            }
            schema::envelope message;
            *message.mutable_session() = *std::move(frame);
            network.send(entry.name, agent_name, std::move(message));
        }
    }
}

void scripted_cluster::run_for(absl::Duration duration)
{
    const auto end = clock.now() + duration;
    while (clock.now() < end)
    {
        step();
    }
}

schema::task_start make_start(const std::string& submission, std::uint32_t task,
                              std::uint32_t attempt)
{
    schema::task_start start;
    start.set_submission_id(submission);
    start.set_task(task);
    start.set_attempt(attempt);
    start.set_kind("proof");
    start.set_start_within_ms(60'000);
    start.set_run_limit_ms(60'000);
    return start;
}

} // namespace savoryreach::agent
