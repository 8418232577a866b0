#include "savoryreach/daemon/agent_node.hpp"

#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/dispatch/dispatcher.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <chrono>
#include <random>

namespace savoryreach::daemon
{
namespace
{

constexpr absl::Duration hub_interval = absl::Milliseconds(100);
/// Interval at which the dispatcher is asked for its word; three fit into its validity.
constexpr absl::Duration ask_interval = absl::Milliseconds(200);
/// Longest pause between turns while something runs, and while nothing does.
constexpr std::chrono::milliseconds busy_pause(25);
constexpr std::chrono::milliseconds idle_pause(100);

} // namespace

agent_node::agent_node(boost::asio::io_context& io, const base::clock& clock,
                       observe::hybrid_clock& hybrid, agent_node_options options)
    : options_(std::move(options)), clock_(clock), hybrid_(hybrid), log_(clock_),
      process_(std::random_device()()), locator_(options_.seeds), turns_(io)
{
    hub_ = std::make_unique<net::link_hub>(
        io,
        net::link_hub::options{absl::StrCat(options_.host, "/", absl::StrFormat("%08x", process_)),
                               "agent", "", options_.ip, false},
        net::link_hub::callbacks{
            .up = [](const net::link_peer&) {},
            .received = [this](const net::link_peer& it, const schema::envelope& message)
            { on_message(it, message); },
            .down =
                [this](const net::link_peer& it, const std::string& why)
            {
                log_.record("link_lost", {{"peer", it.name}, {"reason", why}});
                locator_.on_down(it.name);
            }},
        clock_, hybrid_);
}

void agent_node::start(dispatch::endpoint_calls& calls)
{
    agent_ = std::make_unique<dispatch::endpoint_agent>(
        clock_, calls, *this, log_, measures_,
        dispatch::endpoint_agent_options{options_.host, process_, options_.longest_lease,
                                         dispatch::dispatcher::lease_renewal_window});
    log(log_level::info, "started", {{"name", options_.host}, {"role", "agent"}});
    turns_.start([this] { return turn(); });
}

void agent_node::set_seeds(const std::vector<std::string>& seeds)
{
    locator_.set_seeds(seeds);
    schedule_turn();
}

std::chrono::milliseconds agent_node::turn()
{
    const auto now = clock_.now();
    if (now >= hub_tick_at_)
    {
        hub_tick_at_ = now + hub_interval;
        hub_->want(locator_.addresses(now));
        hub_->tick();
    }
    if (const auto who = locator_.dispatcher(now))
    {
        agent_->on_dispatcher(who->name, who->term);
        if (now >= ask_at_)
        {
            ask_at_ = now + ask_interval;
            schema::envelope message;
            message.mutable_contact()->set_stamp_us(absl::ToUnixMicros(now));
            message.mutable_contact()->set_term(who->term);
            hub_->send(base::node_name(who->name), std::move(message));
        }
    }
    else
    {
        agent_->on_dispatcher_lost();
    }
    agent_->tick();
    return agent_->is_busy() ? busy_pause : idle_pause;
}

void agent_node::on_message(const net::link_peer& from, const schema::envelope& message)
{
    if (message.has_core_view())
    {
        locator_.on_view(from.name, message.core_view(), clock_.now());
    }
    if (message.has_contact() && message.contact().is_reply())
    {
        agent_->on_contact(message.contact().term(),
                           absl::FromUnixMicros(message.contact().stamp_us()));
    }
    if (message.has_endpoint_orders())
    {
        agent_->on_orders(message.endpoint_orders());
    }
    schedule_turn();
}

void agent_node::send_report(schema::endpoint_report report)
{
    if (const auto who = locator_.dispatcher(clock_.now()))
    {
        schema::envelope message;
        *message.mutable_endpoint_report() = std::move(report);
        hub_->send(base::node_name(who->name), std::move(message));
    }
}

void agent_node::stop()
{
    hub_->stop();
    turns_.stop();
}

std::string agent_node::metrics_text()
{
    measures_.gauge_of("savoryreach_runs", "runs on the endpoint") =
        static_cast<double>(agent_->run_count());
    measures_.gauge_of("savoryreach_endpoint_silent", "1 while the endpoint does not answer") =
        agent_->is_silent() ? 1.0 : 0.0;
    return measures_.to_text();
}

} // namespace savoryreach::daemon
