#include "tests/entry/fake_agent.hpp"

#include <algorithm>

namespace savoryreach::entry
{

fake_agent::fake_agent(simulation::fake_network& network, simulation::virtual_clock& clock,
                       std::string name, std::uint64_t incarnation,
                       std::vector<std::string> entries)
    : network_(network), clock_(clock), name_(std::move(name)), incarnation_(incarnation),
      entries_(std::move(entries)), transport_(network.transport_of(base::node_name(name_)))
{
    network_.attach(base::node_name(name_),
                    [this](const base::node_name& from, const schema::envelope& message)
                    { receive(from, message); });
}

void fake_agent::stop()
{
    network_.detach(base::node_name(name_));
    entries_.clear();
}

std::size_t fake_agent::count_starts(const std::string& submission_id) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        starts, [&](const start& it) { return it.task.submission_id() == submission_id; }));
}

void fake_agent::tick()
{
    const auto now = clock_.now();
    if (now >= next_hello_at_)
    {
        next_hello_at_ = now + absl::Milliseconds(500);
        for (const auto& entry : entries_)
        {
            schema::envelope message;
            auto& hello = *message.mutable_agent_hello();
            hello.set_agent(name_);
            hello.set_incarnation(incarnation_);
            hello.set_slots(4);
            hello.set_request_id(++hellos_);
            hello.set_draining(is_draining);
            hello.set_data_centre(data_centre);
            hello.set_round_trip_us(round_trip_us);
            transport_->send(base::node_name(entry), std::move(message));
        }
    }
    for (auto& it : starts)
    {
        if (it.is_started && !it.is_ended && it.due <= now)
        {
            it.is_ended = true;
            report(it, schema::task_succeeded);
        }
    }
    for (auto& [epoch, it] : links_)
    {
        while (auto frame = it.session->poll(now))
        {
            schema::envelope message;
            *message.mutable_session() = std::move(*frame);
            transport_->send(it.entry, std::move(message));
        }
    }
}

void fake_agent::report(const start& it, schema::task_outcome outcome)
{
    schema::session_item item;
    auto& result = *item.mutable_result();
    result.set_submission_id(it.task.submission_id());
    result.set_task(it.task.task());
    result.set_attempt(it.task.attempt());
    result.set_outcome(outcome);
    result.set_output(it.task.payload() + "-done");
    result.set_reason(outcome == schema::task_failed ? "printer out of paper" : "");
    result.set_run_us(static_cast<std::uint64_t>(absl::ToInt64Microseconds(run_time)));
    links_.at(it.epoch).session->push(std::move(item));
    if (const auto inquiry = last_inquiries_.find(it.epoch); inquiry != last_inquiries_.end())
    {
        answer_inquiry(inquiry->second.first, inquiry->second.second);
    }
}

void fake_agent::end_task(const std::string& submission_id, std::uint32_t task)
{
    for (auto& it : starts)
    {
        if (it.task.submission_id() == submission_id && it.task.task() == task && it.is_started)
        {
            it.is_ended = true;
            report(it, schema::task_succeeded);
        }
    }
}

void fake_agent::receive(const base::node_name& from, const schema::envelope& message)
{
    if (message.has_agent_hello_reply())
    {
        const auto& reply = message.agent_hello_reply();
        leases[from.value()] = reply.lease_ms();
        auto& it = links_[reply.epoch()];
        if (it.session == nullptr)
        {
            it.entry = from;
            it.session = std::make_unique<net::session>(reply.epoch(), incarnation_);
            schema::session_item item;
            item.mutable_credit()->set_limit(credit);
            it.session->push(std::move(item));
        }
    }
    else if (message.has_session())
    {
        const auto it = links_.find(message.session().epoch());
        if (it == links_.end())
        {
            return;
        }
        for (const auto& received : it->second.session->receive(message.session(), clock_.now()))
        {
            receive_item(message.session().epoch(), received);
        }
    }
    else if (message.has_inquiry() && answers_inquiries)
    {
        ++inquiries;
        last_inquiries_[message.inquiry().dead_epoch()] = {from, message.inquiry()};
        answer_inquiry(from, message.inquiry());
    }
}

void fake_agent::receive_item(std::uint64_t epoch, const schema::session_item& item)
{
    if (item.has_release())
    {
        released.push_back(item.release().submission_id());
    }
    if (item.has_start())
    {
        start it{item.start(), epoch, absl::InfiniteFuture()};
        it.is_started = start_behaviour != behaviour::queue && start_behaviour != behaviour::reject;
        it.is_ended = start_behaviour == behaviour::fail || start_behaviour == behaviour::reject;
        if (start_behaviour == behaviour::succeed)
        {
            it.due = clock_.now() + run_time;
        }
        starts.push_back(it);
        if (it.is_ended)
        {
            report(it, start_behaviour == behaviour::fail ? schema::task_failed
                                                          : schema::task_not_started);
        }
    }
    const auto& id =
        item.has_cancel() ? item.cancel().submission_id() : item.recall().submission_id();
    for (auto& it : starts)
    {
        const bool is_addressed =
            (item.has_cancel() || (item.has_recall() && it.task.task() == item.recall().task())) &&
            it.task.submission_id() == id;
        if (is_addressed && !it.is_started && !it.is_ended)
        {
            it.is_ended = true;
            report(it, schema::task_not_started);
        }
    }
}

void fake_agent::answer_inquiry(const base::node_name& from, const schema::inquiry& inquiry)
{
    schema::envelope message;
    auto& reply = *message.mutable_inquiry_reply();
    reply.set_request_id(inquiry.request_id());
    reply.set_dead_epoch(inquiry.dead_epoch());
    reply.set_agent(name_);
    reply.set_incarnation(incarnation_);
    for (const auto& it : starts)
    {
        if (it.epoch != inquiry.dead_epoch() || !it.is_started)
        {
            continue;
        }
        auto& task = *reply.add_tasks();
        task.set_submission_id(it.task.submission_id());
        task.set_task(it.task.task());
        task.set_attempt(it.task.attempt());
        task.set_ended(it.is_ended);
        if (it.is_ended)
        {
            task.mutable_result()->set_outcome(schema::task_succeeded);
            task.mutable_result()->set_output(it.task.payload() + "-done");
        }
    }
    transport_->send(from, std::move(message));
}

} // namespace savoryreach::entry
