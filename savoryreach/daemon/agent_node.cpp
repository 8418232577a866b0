#include "savoryreach/daemon/agent_node.hpp"

#include "savoryreach/daemon/descriptor_budget.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/dispatch/dispatcher.hpp"
#include "savoryreach/keeper/keeper_times.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace savoryreach::daemon
{
namespace
{

constexpr absl::Duration link_tick_interval = absl::Milliseconds(100);
/// Longest pause between ticks with and without runs on the endpoint.
constexpr std::chrono::milliseconds max_busy_pause(25);
constexpr std::chrono::milliseconds max_idle_pause(100);
constexpr std::chrono::milliseconds min_pause(1);

} // namespace

agent_node::agent_node(boost::asio::io_context& io, const base::clock& clock,
                       observe::hybrid_clock& hybrid, agent_node_options options)
    : options_(std::move(options)), clock_(clock), hybrid_(hybrid), events_(clock_),
      process_nonce_(std::random_device()()), locator_(options_.seeds), ticks_(io)
{
    const auto link_name =
        absl::StrCat(options_.host, "/", absl::StrFormat("%08x", process_nonce_));
    hub_ = std::make_unique<net::link_hub>(
        io, net::link_hub::options{link_name, "agent", "", options_.ip, false},
        net::link_hub::callbacks{
            .up = [this](const net::link_peer& it) { path_->on_link_up(it, clock_.now()); },
            .received = [this](const net::link_peer& it, const schema::envelope& message)
            { on_message(it, message); },
            .down =
                [this](const net::link_peer& it, const std::string& reason)
            {
                on_link_down(it, reason);
            }},
        clock_, hybrid_);
    path_ = std::make_unique<relay_client>(link_name,
                                           options_.tolerated_failures >= min_failures_for_relays,
                                           *hub_, locator_, events_);
}

void agent_node::on_link_down(const net::link_peer& peer, const std::string& reason)
{
    events_.record("link_lost", {{"peer", peer.name}, {"reason", reason}});
    locator_.on_down(peer.name);
    path_->on_link_down(peer.name);
}

void agent_node::start(dispatch::endpoint_calls& calls)
{
    agent_ = std::make_unique<dispatch::endpoint_agent>(
        clock_, calls, *this, events_, metrics_,
        dispatch::endpoint_agent_options{options_.host, process_nonce_, options_.longest_lease,
                                         dispatch::dispatcher::lease_renewal_window,
                                         options_.heartbeat_interval});
    log(log_level::info, "started", {{"name", options_.host}, {"role", "agent"}});
    ticks_.start([this] { return tick(); });
}

void agent_node::set_seeds(const std::vector<std::string>& seeds)
{
    locator_.set_seeds(seeds);
    schedule_tick();
}

std::chrono::milliseconds agent_node::tick()
{
    const auto now = clock_.now();
    if (now >= next_link_tick_)
    {
        next_link_tick_ = now + link_tick_interval;
        hub_->want(path_->addresses(now));
        hub_->tick();
    }
    path_->tick(now);
    if (const auto dispatcher = path_->dispatcher(now))
    {
        agent_->on_dispatcher(dispatcher->name, dispatcher->term);
        if (contact_schedule_.take_due(*dispatcher, now))
        {
            schema::envelope message;
            message.mutable_contact()->set_stamp_us(absl::ToUnixMicros(now));
            message.mutable_contact()->set_term(dispatcher->term);
            path_->send(dispatcher->name, std::move(message));
        }
    }
    else
    {
        agent_->on_dispatcher_lost();
    }
    agent_->tick();
    const auto pause = agent_->is_busy() ? max_busy_pause : max_idle_pause;
    const auto until_due = absl::Ceil(agent_->next_due() - clock_.now(), absl::Milliseconds(1));
    return std::clamp(absl::ToChronoMilliseconds(until_due), min_pause, pause);
}

void agent_node::on_message(const net::link_peer& from, const schema::envelope& message)
{
    if (message.has_core_view())
    {
        locator_.on_view(from.name, message.core_view(), clock_.now());
    }
    else if (message.has_relayed())
    {
        if (const auto* inner = path_->on_relayed(from, message.relayed(), clock_.now()))
        {
            on_dispatcher_message(*inner);
        }
    }
    else if (!path_->is_relayed())
    {
        on_dispatcher_message(message);
    }
    schedule_tick();
}

void agent_node::on_dispatcher_message(const schema::envelope& message)
{
    if (message.has_contact() && message.contact().is_reply())
    {
        const auto& reply = message.contact();
        // A dispatcher of an earlier version does not say; its lease bounds the age.
        const auto quorum_age = reply.has_quorum_age_ms()
                                    ? absl::Milliseconds(reply.quorum_age_ms())
                                    : keeper::leader_lease;
        agent_->on_contact(reply.term(), absl::FromUnixMicros(reply.stamp_us()) - quorum_age);
    }
    if (message.has_endpoint_orders())
    {
        agent_->on_orders(message.endpoint_orders());
    }
}

void agent_node::send_report(schema::endpoint_report report)
{
    if (const auto dispatcher = path_->dispatcher(clock_.now()))
    {
        schema::envelope message;
        *message.mutable_endpoint_report() = std::move(report);
        path_->send(dispatcher->name, std::move(message));
    }
}

void agent_node::stop()
{
    hub_->stop();
    ticks_.stop();
}

std::string agent_node::metrics_text()
{
    metrics_.gauge_of("savoryreach_runs", "runs on the endpoint") =
        static_cast<double>(agent_->run_count());
    metrics_.gauge_of("savoryreach_endpoint_silent", "1 while the endpoint does not answer") =
        agent_->is_silent() ? 1.0 : 0.0;
    metrics_.gauge_of("savoryreach_relay_path", "1 while a relay is the path to the dispatcher") =
        path_->is_relayed() ? 1.0 : 0.0;
    write_descriptor_metrics(metrics_);
    hub_->write_metrics(metrics_);
    for (const auto& it : metric_sources_)
    {
        it(metrics_);
    }
    return metrics_.to_text();
}

} // namespace savoryreach::daemon
