#include "savoryreach/daemon/fleet_node.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace savoryreach::daemon
{
namespace
{

/// Interval of the leader's word to all linked processes; four fit into its validity.
constexpr absl::Duration announce_interval = absl::Milliseconds(250);
/// Interval of the checks of links.
constexpr absl::Duration hub_interval = absl::Milliseconds(100);
/// Longest pause between turns with, and without, a part in the core.
constexpr std::chrono::milliseconds core_pause(20);
constexpr std::chrono::milliseconds front_pause(50);

} // namespace

fleet_node::fleet_node(boost::asio::io_context& io, const base::clock& clock,
                       observe::hybrid_clock& hybrid, fleet_node_options options)
    : io_(io), options_(std::move(options)), clock_(clock), hybrid_(hybrid), log_(clock_),
      locator_(options_.seeds),
      desk_(clock_, *this, log_, measures_,
            static_cast<std::uint64_t>(absl::ToUnixNanos(clock_.wall_now()))),
      turns_(io)
{
}

fleet_node::~fleet_node() = default;

std::optional<std::string> fleet_node::start()
{
    core_options core;
    core.folder = options_.data_folder;
    core.address = options_.address;
    core.seeds = options_.seeds;
    core.first_start = options_.first_start;
    core.wanted_voters = 2 * options_.losses_borne + 1;
    std::string why;
    if (!options_.data_folder.empty())
    {
        storage::posix_disk disk;
        identity_ = load_identity(disk, core, why);
        if (!identity_)
        {
            return why;
        }
    }
    self_ = identity_ ? identity_->name : options_.name;
    hub_ = std::make_unique<net::link_hub>(
        io_,
        net::link_hub::options{self_, "front", options_.address, options_.ip,
                               identity_.has_value()},
        net::link_hub::callbacks{
            .up = [this](const net::link_peer& it) { on_up(it); },
            .received = [this](const net::link_peer& it, const schema::envelope& message)
            { on_message(it, message); },
            .down =
                [this](const net::link_peer& it, const std::string& reason)
            {
                on_down(it, reason);
            }},
        clock_, hybrid_);
    if (auto error = hub_->start())
    {
        return error;
    }
    if (identity_)
    {
        member_ = core_member::open(
            io_, core, *identity_, *hub_, clock_, log_, [this] { schedule_turn(); }, why);
        if (!member_)
        {
            return why;
        }
    }
    dispatcher_ = std::make_unique<dispatch::dispatcher>(clock_, *this, log_, measures_,
                                                         member_ ? member_->store() : no_store_);
    log(log_level::info, "started",
        {{"name", self_}, {"address", options_.address}, {"core", member_ ? "1" : "0"}});
    turns_.start([this] { return turn(); });
    return std::nullopt;
}

void fleet_node::set_seeds(const std::vector<std::string>& seeds)
{
    locator_.set_seeds(seeds);
    schedule_turn();
}

std::chrono::milliseconds fleet_node::turn()
{
    const auto now = clock_.now();
    if (member_)
    {
        member_->tick();
        update_role();
    }
    if (now >= hub_tick_at_)
    {
        hub_tick_at_ = now + hub_interval;
        auto addresses = locator_.addresses(now);
        if (member_)
        {
            for (const auto& it : member_->members().members())
            {
                addresses.push_back(it.address());
            }
        }
        hub_->want(addresses);
        hub_->tick();
    }
    if (is_dispatcher() && now >= announce_at_)
    {
        announce();
    }
    desk_.set_dispatcher(is_dispatcher()
                             ? std::optional(dispatch::dispatcher_ref{self_, member_->term()})
                             : locator_.dispatcher(now));
    desk_.tick();
    if (is_dispatcher())
    {
        dispatcher_->tick();
    }
    return member_ ? core_pause : front_pause;
}

/// Follows the log: the leader that may serve is the dispatcher.
void fleet_node::update_role()
{
    const bool serving = member_->can_serve();
    if (dispatcher_->is_leading() && (!member_->is_leader() || member_->term() != leading_term_))
    {
        dispatcher_->stop_leading();
        announce();
    }
    if (serving && !dispatcher_->is_leading())
    {
        leading_term_ = member_->term();
        dispatcher_->lead(member_->term());
        announce();
    }
    if (member_->applied_index() != seen_applied_)
    {
        seen_applied_ = member_->applied_index();
        dispatcher_->on_applied(seen_applied_);
    }
}

schema::core_view fleet_node::view() const
{
    if (!is_dispatcher())
    {
        return locator_.relayed_view();
    }
    schema::core_view out;
    out.set_term(member_->term());
    out.set_leader(self_);
    out.set_serving(true);
    for (const auto& it : member_->members().members())
    {
        auto& added = *out.add_members();
        added.set_name(it.name());
        added.set_address(it.address());
    }
    return out;
}

void fleet_node::announce()
{
    announce_at_ = clock_.now() + announce_interval;
    schema::envelope message;
    *message.mutable_core_view() = view();
    for (const auto& it : hub_->peers())
    {
        hub_->send(base::node_name(it.name), message);
    }
}

void fleet_node::on_up(const net::link_peer& peer)
{
    schema::envelope message;
    *message.mutable_core_view() = view();
    hub_->send(base::node_name(peer.name), message);
}

void fleet_node::on_message(const net::link_peer& from, const schema::envelope& message)
{
    switch (message.body_case())
    {
    case schema::envelope::kCoreView:
        if (locator_.on_view(from.name, message.core_view(), clock_.now()))
        {
            // Those that know only this process learn the members from it.
            announce();
        }
        break;
    case schema::envelope::kFrontRequest:
        if (is_dispatcher())
        {
            dispatcher_->on_front_request(from.name, message.front_request());
        }
        break;
    case schema::envelope::kFrontAnswer:
        desk_.on_answer(message.front_answer());
        break;
    case schema::envelope::kContact:
        if (is_dispatcher() && message.contact().term() == member_->term())
        {
            schema::envelope reply = message;
            reply.mutable_contact()->set_is_reply(true);
            hub_->send(base::node_name(from.name), std::move(reply));
        }
        return;
    case schema::envelope::kEndpointReport:
        dispatcher_->on_report(from.name, message.endpoint_report());
        break;
    default:
        if (member_)
        {
            member_->receive(from, message);
        }
    }
    schedule_turn();
}

void fleet_node::on_down(const net::link_peer& peer, const std::string& why)
{
    log_.record("link_lost", {{"peer", peer.name}, {"reason", why}});
    locator_.on_down(peer.name);
    dispatcher_->on_agent_down(peer.name);
    schedule_turn();
}

void fleet_node::send_orders(const std::string& agent, schema::endpoint_orders orders)
{
    schema::envelope message;
    *message.mutable_endpoint_orders() = std::move(orders);
    hub_->send(base::node_name(agent), std::move(message));
}

void fleet_node::answer(const std::string& front, schema::front_answer answer)
{
    if (front == self_)
    {
        // Not from within the dispatcher's call.
        boost::asio::post(io_, [this, answer = std::move(answer)] { desk_.on_answer(answer); });
        return;
    }
    schema::envelope message;
    *message.mutable_front_answer() = std::move(answer);
    hub_->send(base::node_name(front), std::move(message));
}

std::optional<std::uint64_t> fleet_node::propose(schema::command command)
{
    return member_ ? member_->propose(std::move(command)) : std::nullopt;
}

void fleet_node::send_request(const std::string& dispatcher, schema::front_request request)
{
    if (dispatcher == self_)
    {
        boost::asio::post(io_,
                          [this, request = std::move(request)]
                          {
                              if (is_dispatcher())
                              {
                                  dispatcher_->on_front_request(self_, request);
                                  schedule_turn();
                              }
                          });
        return;
    }
    schema::envelope message;
    *message.mutable_front_request() = std::move(request);
    hub_->send(base::node_name(dispatcher), std::move(message));
}

/// A leader without a fresh majority decides nothing, but keeps its state: the majority may be back
/// before another one leads.
bool fleet_node::is_dispatcher() const
{
    return dispatcher_ && dispatcher_->is_leading() && member_->can_serve();
}

bool fleet_node::is_ready() const
{
    return desk_.has_dispatcher();
}

void fleet_node::begin_drain()
{
    if (member_)
    {
        member_->retire();
    }
    schedule_turn();
}

void fleet_node::stop()
{
    hub_->stop();
    turns_.stop();
}

std::string fleet_node::metrics_text()
{
    const auto counts = dispatcher_->counts();
    const auto gauge = [this](const char* name, const char* help, double value)
    {
        measures_.gauge_of(name, help) = value;
    };
    const auto counter = [this](const char* name, const char* help, std::uint64_t value)
    {
        measures_.counter_of(name, help) = value;
    };
    gauge("savoryreach_leads", "1 while this process is the dispatcher",
          dispatcher_->is_leading() ? 1.0 : 0.0);
    gauge("savoryreach_pending_requests", "requests that were read and not answered",
          static_cast<double>(desk_.pending()));
    gauge("savoryreach_jobs", "jobs accepted and not ended", static_cast<double>(counts.jobs));
    gauge("savoryreach_endpoints", "hosts that may run tasks",
          static_cast<double>(counts.endpoints));
    counter("savoryreach_jobs_accepted_total", "jobs accepted", counts.accepted);
    counter("savoryreach_jobs_refused_total", "jobs refused, not run", counts.refused);
    counter("savoryreach_jobs_completed_total", "jobs whose tasks all ended done",
            counts.completed);
    counter("savoryreach_jobs_failed_total", "jobs with a task that failed as often as allowed",
            counts.failed);
    counter("savoryreach_jobs_cancelled_total", "jobs ended as nobody waits for them",
            counts.cancelled);
    counter("savoryreach_starts_total", "starts ordered", counts.starts);
    counter("savoryreach_failed_runs_total", "runs that ended failed", counts.retried_runs);
    return measures_.to_text();
}

} // namespace savoryreach::daemon
