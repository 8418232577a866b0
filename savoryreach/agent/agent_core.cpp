#include "savoryreach/agent/agent_core.hpp"

#include "savoryreach/agent/inquiry_table.hpp"
#include "savoryreach/agent/registration.hpp"
#include "savoryreach/agent/session_table.hpp"
#include "savoryreach/agent/task_runner.hpp"
#include "savoryreach/agent/view_store.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace savoryreach::agent
{
namespace
{

/// Time that running tasks have to finish after their session lease has expired; then the endpoint
/// is asked to stop them, unless an inquiry waits for their results.
constexpr absl::Duration run_stop_delay = absl::Seconds(3);
/// Time without a received start before a draining agent deregisters: a start that the entry sent
/// before it learned of the drain may be lost and retransmitted.
constexpr absl::Duration drain_quiet_period = absl::Seconds(1);
/// Time that a drain waits after a session lease has expired, so that the entry or an inquiry can
/// still fetch results: covers the entry lease, the session lease and the inquiry deadline.
constexpr absl::Duration expired_session_drain_timeout = absl::Seconds(10);
constexpr std::size_t default_result_bytes = 16 << 20;

std::size_t result_bound(const schema::agent_settings& settings)
{
    return settings.max_result_bytes() == 0 ? default_result_bytes : settings.max_result_bytes();
}

/// Starts that may wait at the agent, so that a slot doesn't stay free for the round trip between
/// the end of a task and the next start.
std::uint32_t prefetch_limit(std::uint32_t slots)
{
    return std::max<std::uint32_t>(1, slots / 4);
}

} // namespace

struct agent_core::state
{
    state(const schema::agent_settings& settings_in, agent_ports ports_in);

    void on_keeper_reply(const base::node_name& from, const schema::keeper_reply& reply);
    void on_hello_reply(const base::node_name& from, const schema::agent_hello_reply& reply);
    void on_frame(const base::node_name& from, const schema::session_frame& frame);
    void on_item(entry_session& session, const schema::session_item& item);
    void on_inquiry(const base::node_name& from, const schema::inquiry& inquiry);

    void apply_view(const schema::cluster_view& view);
    void drop_incarnation();
    entry_session* adopt_epoch(const base::node_name& entry, std::uint64_t epoch);
    void close_session(entry_session& session, std::string_view reason);
    void fence(std::uint64_t epoch, const std::string& peer);
    void check_leases();
    void drop_finished_sessions();
    void send_hellos();
    void send_hello(entry_session& session);
    void send_credits();
    void send_inquiry_replies();
    [[nodiscard]] bool are_results_delivered(const entry_session& session) const;
    void continue_drain();

    schema::agent_settings settings;
    agent_ports ports;
    registration registrar;
    view_store views;
    session_table sessions;
    credit_book credits;
    task_runner runner;
    inquiry_table inquiries;
    bool is_draining = false;
    absl::Time drain_began = absl::InfiniteFuture();
    absl::Time last_start_at = absl::InfinitePast(); ///< receipt of the latest start
    std::uint64_t last_request_id = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
};

agent_core::state::state(const schema::agent_settings& settings_in, agent_ports ports_in)
    : settings(settings_in), ports(ports_in),
      registrar(settings_in.common(), ports.clock, ports.random, ports.transport),
      sessions(ports.clock, views, registrar),
      credits(settings_in.slots(), prefetch_limit(settings_in.slots())),
      runner(settings_in.slots(), result_bound(settings_in),
             {ports.clock, ports.endpoint, ports.events, sessions, credits})
{
}

void agent_core::state::on_keeper_reply(const base::node_name& from,
                                        const schema::keeper_reply& reply)
{
    switch (registrar.receive(from, reply))
    {
    case registration::change::registered:
        ports.events.record(
            "agent_registered",
            {{"peer", from.value()}, {"incarnation", absl::StrCat(registrar.incarnation())}});
        apply_view(reply.register_agent().view());
        break;
    case registration::change::renewed:
        apply_view(reply.renew_agent().view());
        break;
    case registration::change::expired:
        drop_incarnation();
        views.apply(reply.renew_agent().view());
        break;
    case registration::change::left:
        ports.events.record("drain_finished", {{"peer", from.value()}});
        break;
    case registration::change::none:
        break;
    }
}

void agent_core::state::drop_incarnation()
{
    runner.abandon_all();
    credits.clear();
    inquiries.clear();
    sessions.clear();
}

void agent_core::state::apply_view(const schema::cluster_view& view)
{
    views.apply(view);
    if (registrar.incarnation() == 0)
    {
        return;
    }
    for (const auto& entry : views.entries())
    {
        const base::node_name name(entry.name());
        ports.transport.learn_address(name, entry.address());
        adopt_epoch(name, entry.epoch());
    }
    for (auto& [epoch, session] : sessions)
    {
        if (views.is_fenced(epoch) && session.current_phase() != entry_session::phase::closed)
        {
            fence(epoch, session.entry().value());
        }
    }
}

entry_session* agent_core::state::adopt_epoch(const base::node_name& entry, std::uint64_t epoch)
{
    auto* current = sessions.current(entry);
    if (views.is_fenced(epoch) || (current != nullptr && current->epoch() > epoch))
    {
        return nullptr;
    }
    if (current != nullptr && current->epoch() == epoch)
    {
        return current;
    }
    if (current != nullptr)
    {
        close_session(*current, "the entry has a new epoch");
    }
    return &sessions.add(entry, epoch, registrar.incarnation());
}

void agent_core::state::close_session(entry_session& session, std::string_view reason)
{
    if (session.close())
    {
        runner.discard_waiting(session.epoch(), reason);
        credits.remove(session.epoch());
    }
}

void agent_core::state::fence(std::uint64_t epoch, const std::string& peer)
{
    auto* session = sessions.find(epoch);
    const bool was_open =
        session != nullptr && session->current_phase() != entry_session::phase::closed;
    if (views.fence(epoch) || was_open)
    {
        ports.events.record("epoch_fenced", {{"peer", peer}, {"epoch", absl::StrCat(epoch)}});
    }
    if (was_open)
    {
        close_session(*session, "the epoch is fenced");
    }
}

void agent_core::state::on_hello_reply(const base::node_name& from,
                                       const schema::agent_hello_reply& reply)
{
    auto* current = sessions.current(from);
    if (current == nullptr || reply.incarnation() != registrar.incarnation())
    {
        return;
    }
    const auto sent_at = current->hello_sent_at(reply.request_id());
    if (!sent_at)
    {
        return;
    }
    current->add_round_trip(ports.clock.now() - *sent_at);
    if (*sent_at >= drain_began)
    {
        current->confirm_drain();
    }
    apply_view(reply.view());
    auto* session = adopt_epoch(from, reply.epoch());
    if (session == nullptr || reply.lease_ms() == 0)
    {
        return;
    }
    if (session->extend_lease(*sent_at + absl::Milliseconds(reply.lease_ms()), ports.clock.now()))
    {
        ports.events.record("session_opened",
                            {{"peer", from.value()}, {"epoch", absl::StrCat(reply.epoch())}});
        credits.open(reply.epoch());
    }
    credits.set_demand(reply.epoch(), reply.demand());
}

void agent_core::state::on_frame(const base::node_name& from, const schema::session_frame& frame)
{
    auto* session = sessions.find(frame.epoch());
    if (session == nullptr || session->entry() != from)
    {
        return;
    }
    const auto phase = session->current_phase();
    if (phase == entry_session::phase::connecting || phase == entry_session::phase::closed)
    {
        // Without a lease every start would be refused; the entry retransmits the frame.
        return;
    }
    ++frames_received;
    for (const auto& item : session->stream().receive(frame, ports.clock.now()))
    {
        on_item(*session, item);
    }
}

void agent_core::state::on_item(entry_session& session, const schema::session_item& item)
{
    const auto epoch = session.epoch();
    switch (item.body_case())
    {
    case schema::session_item::kStart:
        last_start_at = ports.clock.now();
        runner.receive_start(epoch, item.start());
        break;
    case schema::session_item::kRecall:
        runner.receive_recall(epoch, item.recall());
        break;
    case schema::session_item::kCancel:
        runner.receive_cancel(epoch, item.cancel());
        break;
    case schema::session_item::kRelease:
        runner.receive_release(epoch, item.release(),
                               [this](std::uint64_t owner) { return views.is_fenced(owner); });
        break;
    case schema::session_item::kDemand:
        credits.set_demand(epoch, item.demand().waiting());
        break;
    default:
        // Ignores items that only agents send.
        break;
    }
}

void agent_core::state::on_inquiry(const base::node_name& from, const schema::inquiry& inquiry)
{
    if (registrar.incarnation() == 0 || inquiry.dead_epoch() == 0)
    {
        return;
    }
    fence(inquiry.dead_epoch(), from.value());
    inquiries.add_inquiry(from, inquiry, ports.clock.now());
}

void agent_core::state::check_leases()
{
    const auto now = ports.clock.now();
    for (auto& [epoch, session] : sessions)
    {
        if (session.check_lease(now))
        {
            ports.events.record("session_lease_expired", {{"peer", session.entry().value()},
                                                          {"epoch", absl::StrCat(epoch)}});
            runner.discard_waiting(epoch, "the session lease has expired");
            credits.close(epoch);
        }
        if (now >= session.lease_until() + run_stop_delay &&
            !inquiries.has_active_inquiry(epoch, now))
        {
            runner.stop_running(epoch);
        }
    }
}

void agent_core::state::drop_finished_sessions()
{
    for (auto it = sessions.begin(); it != sessions.end();)
    {
        auto& session = it->second;
        const auto phase = session.current_phase();
        const bool is_gone =
            phase != entry_session::phase::open && !views.has_entry(session.entry().value());
        if ((phase == entry_session::phase::closed || is_gone) &&
            runner.slots().running_of(it->first) == 0)
        {
            credits.remove(it->first);
            it = sessions.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

void agent_core::state::send_hellos()
{
    if (registrar.incarnation() == 0 || registrar.has_left())
    {
        return;
    }
    const auto now = ports.clock.now();
    for (auto& [epoch, session] : sessions)
    {
        if (session.is_hello_due(now) && views.has_entry(session.entry().value()))
        {
            send_hello(session);
        }
    }
}

void agent_core::state::send_hello(entry_session& session)
{
    schema::envelope message;
    auto& hello = *message.mutable_agent_hello();
    hello.set_agent(settings.common().name());
    hello.set_incarnation(registrar.incarnation());
    hello.set_data_centre(settings.common().data_centre());
    hello.set_slots(settings.slots());
    hello.set_request_id(++last_request_id);
    hello.set_draining(is_draining);
    hello.set_config_revision(views.config_revision());
    hello.set_membership_revision(views.membership_revision());
    *hello.mutable_kinds() = settings.kinds();
    hello.set_round_trip_us(
        static_cast<std::uint32_t>(absl::ToInt64Microseconds(session.shortest_round_trip())));
    runner.counters().write(hello);
    session.record_hello(last_request_id, ports.clock.now());
    ports.transport.send(session.entry(), std::move(message));
}

void agent_core::state::send_credits()
{
    for (const auto& change : credits.rebalance())
    {
        schema::session_item item;
        item.mutable_credit()->set_limit(change.limit);
        sessions.push(change.epoch, std::move(item));
    }
}

void agent_core::state::send_inquiry_replies()
{
    inquiries.expire(ports.clock.now());
    for (auto& [asker, reply] : inquiries.take_replies(runner.records()))
    {
        reply.set_agent(settings.common().name());
        reply.set_incarnation(registrar.incarnation());
        schema::envelope message;
        *message.mutable_inquiry_reply() = std::move(reply);
        ports.transport.send(asker, std::move(message));
    }
}

bool agent_core::state::are_results_delivered(const entry_session& session) const
{
    const auto now = ports.clock.now();
    switch (session.current_phase())
    {
    case entry_session::phase::connecting:
    case entry_session::phase::closed:
        return true;
    case entry_session::phase::open:
        return session.is_drain_confirmed() && session.stream().unacknowledged() == 0;
    case entry_session::phase::expired:
        break;
    }
    return session.stream().unacknowledged() == 0 ||
           now >= session.lease_until() + expired_session_drain_timeout;
}

void agent_core::state::continue_drain()
{
    if (!is_draining || registrar.is_leaving() || runner.slots().running() > 0)
    {
        return;
    }
    const bool is_quiet =
        ports.clock.now() >= std::max(drain_began, last_start_at) + drain_quiet_period;
    const bool are_all_results_delivered =
        std::all_of(sessions.begin(), sessions.end(),
                    [this](const auto& item) { return are_results_delivered(item.second); });
    if (registrar.incarnation() == 0 || (is_quiet && are_all_results_delivered))
    {
        registrar.leave();
    }
}

agent_core::agent_core(const schema::agent_settings& settings, agent_ports ports)
    : state_(std::make_unique<state>(settings, ports))
{
}

agent_core::~agent_core() = default;

void agent_core::receive(const base::node_name& from, const schema::envelope& message)
{
    // An expired lease must be detected before a later reply extends it: the entry may already
    // treat the starts that wait here as lost.
    state_->check_leases();
    switch (message.body_case())
    {
    case schema::envelope::kKeeperReply:
        state_->on_keeper_reply(from, message.keeper_reply());
        break;
    case schema::envelope::kAgentHelloReply:
        state_->on_hello_reply(from, message.agent_hello_reply());
        break;
    case schema::envelope::kSession:
        state_->on_frame(from, message.session());
        break;
    case schema::envelope::kInquiry:
        state_->on_inquiry(from, message.inquiry());
        break;
    default:
        // Ignores messages that are not addressed to agents.
        break;
    }
}

void agent_core::tick()
{
    state_->registrar.tick();
    state_->check_leases();
    state_->runner.tick();
    state_->drop_finished_sessions();
    state_->continue_drain();
    state_->send_hellos();
    state_->send_credits();
    state_->frames_sent += state_->sessions.send_frames(state_->ports.transport);
    state_->send_inquiry_replies();
}

void agent_core::run_ended(std::uint64_t run_id, const run_outcome& outcome)
{
    if (const auto epoch = state_->runner.run_ended(run_id, outcome))
    {
        state_->inquiries.task_ended(*epoch);
    }
}

void agent_core::begin_drain()
{
    if (!std::exchange(state_->is_draining, true))
    {
        state_->drain_began = state_->ports.clock.now();
        state_->ports.events.record("drain_started", {});
        state_->credits.set_draining();
        state_->runner.begin_drain();
        for (auto& [epoch, session] : state_->sessions)
        {
            session.schedule_hello_now();
        }
    }
}

bool agent_core::is_drained() const
{
    return state_->registrar.has_left() && state_->runner.slots().running() == 0;
}

bool agent_core::is_ready() const
{
    return state_->registrar.incarnation() != 0 && !state_->is_draining &&
           std::any_of(state_->sessions.begin(), state_->sessions.end(),
                       [this](const auto& item)
                       { return item.second.is_lease_valid(state_->ports.clock.now()); });
}

agent_status agent_core::status() const
{
    const auto& runner = state_->runner;
    agent_status status;
    status.incarnation = state_->registrar.incarnation();
    status.config_revision = state_->views.config_revision();
    status.sessions = static_cast<std::size_t>(
        std::count_if(state_->sessions.begin(), state_->sessions.end(),
                      [](const auto& item)
                      { return item.second.current_phase() == entry_session::phase::open; }));
    status.running = runner.slots().running();
    status.waiting = runner.slots().waiting();
    status.start_records = runner.records().size();
    status.result_bytes = runner.records().result_bytes();
    status.starts = runner.starts();
    status.succeeded = runner.counters().succeeded();
    status.failed = runner.counters().failed();
    status.frames_sent = state_->frames_sent;
    status.frames_received = state_->frames_received;
    return status;
}

} // namespace savoryreach::agent
