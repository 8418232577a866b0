#include "savoryreach/daemon/fleet_node.hpp"

#include "savoryreach/daemon/descriptor_budget.hpp"
#include "savoryreach/daemon/http_service.hpp"
#include "savoryreach/daemon/logger.hpp"
#include "savoryreach/storage/posix_disk.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace savoryreach::daemon
{
namespace
{

/// Interval at which the dispatcher sends the core view to all linked processes. A view is valid
/// for more than four intervals, which allows for lost and late messages.
constexpr absl::Duration broadcast_interval = absl::Milliseconds(250);
/// Interval at which the view names the relays even if they are the same.
constexpr absl::Duration relays_interval = absl::Seconds(2);
/// A view names at most this many relays.
constexpr std::size_t max_relays = 8;
/// Interval between updates of the link hub.
constexpr absl::Duration link_tick_interval = absl::Milliseconds(100);
/// Longest pause between ticks of a core member and of a process outside the core.
constexpr std::chrono::milliseconds max_core_pause(20);
/// Time reserved for the change of the voters itself: a lost one must be replaced before its
/// successor no longer counts as lost, since the next loss may come then.
constexpr absl::Duration repair_time = absl::Seconds(1);
/// Lower bound of the time after which a voter is replaced; longer than the restart of a process.
constexpr absl::Duration min_replace_after = absl::Seconds(2);
constexpr std::chrono::milliseconds max_front_pause(50);
/// Deployments that tolerate this many failures have fronts that weigh jobs while no dispatcher
/// answers; with a smaller core a front holds all.
constexpr std::uint32_t min_failures_for_weighing = 2;

} // namespace

fleet_node::fleet_node(boost::asio::io_context& io, const base::clock& clock,
                       observe::hybrid_clock& hybrid, fleet_node_options options)
    : io_(io), options_(std::move(options)), clock_(clock), hybrid_(hybrid), events_(clock_),
      locator_(options_.seeds),
      requests_(clock_, *this, events_, metrics_,
                static_cast<std::uint64_t>(absl::ToUnixNanos(clock_.wall_now())),
                options_.tolerated_failures >= min_failures_for_weighing),
      ticks_(io)
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
    core.wanted_voters = 2 * options_.tolerated_failures + 1;
    core.replace_after = std::max(options_.catch_up - repair_time, min_replace_after);
    std::string error;
    if (!options_.data_folder.empty())
    {
        storage::posix_disk disk;
        identity_ = load_identity(disk, core, error);
        if (!identity_)
        {
            return error;
        }
    }
    link_name_ = identity_ ? identity_->name : options_.name;
    hub_ = std::make_unique<net::link_hub>(
        io_,
        net::link_hub::options{link_name_, "front", options_.address, options_.ip,
                               identity_.has_value(), options_.link_memory_bytes},
        net::link_hub::callbacks{
            .up = [this](const net::link_peer& it) { on_link_up(it); },
            .received = [this](const net::link_peer& it, const schema::envelope& message)
            { on_message(it, message); },
            .down = [this](const net::link_peer& it, const std::string& reason)
            { on_link_down(it, reason); },
            .accept_failing = [](const std::string& reason) { log_accept_state("links", reason); },
            .rejected =
                [this](const std::string& cause, const std::string& from)
            {
                link_rejections_.record(cause, from, hub_->kept_memory());
            }},
        clock_, hybrid_);
    const bool has_relays = options_.tolerated_failures >= min_failures_for_relays;
    path_ = std::make_unique<relay_client>(link_name_, has_relays && !identity_, *hub_, locator_,
                                           events_);
    if (has_relays && !identity_)
    {
        relay_ = std::make_unique<relay_service>(*hub_, events_, metrics_);
    }
    if (auto listen_error = hub_->start())
    {
        return listen_error;
    }
    if (identity_)
    {
        member_ = core_member::open(
            io_, std::make_unique<storage::posix_disk>(), core, *identity_, *hub_, clock_, events_,
            [this] { schedule_tick(); }, error);
        if (!member_)
        {
            return error;
        }
    }
    dispatcher_ = std::make_unique<dispatch::dispatcher>(clock_, *this, events_, metrics_,
                                                         member_ ? member_->store() : empty_store_,
                                                         options_.dispatching);
    log(log_level::info, "started",
        {{"name", link_name_}, {"address", options_.address}, {"core", member_ ? "1" : "0"}});
    ticks_.start([this] { return tick(); });
    return std::nullopt;
}

void fleet_node::set_seeds(const std::vector<std::string>& seeds)
{
    locator_.set_seeds(seeds);
    schedule_tick();
}

std::chrono::milliseconds fleet_node::tick()
{
    const auto now = clock_.now();
    if (member_)
    {
        member_->tick();
        update_role();
    }
    if (now >= next_link_tick_)
    {
        next_link_tick_ = now + link_tick_interval;
        auto addresses = path_->addresses(now);
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
    update_relaying(now);
    if (is_dispatcher() && now >= next_broadcast_)
    {
        broadcast_core_view();
    }
    const auto dispatcher =
        is_dispatcher() ? std::optional(dispatch::dispatcher_ref{link_name_, member_->term()})
                        : path_->dispatcher(now);
    requests_.set_heard_at(is_dispatcher() || !dispatcher ? now : path_->heard_at(*dispatcher));
    requests_.set_dispatcher(dispatcher);
    requests_.tick();
    if (is_dispatcher())
    {
        dispatcher_->tick();
    }
    return member_ ? max_core_pause : max_front_pause;
}

void fleet_node::update_relaying(absl::Time now)
{
    path_->tick(now);
    if (relay_)
    {
        auto direct = path_->is_relayed() ? std::nullopt : locator_.dispatcher(now);
        if (direct && now >= path_->heard_at(*direct) + dispatch::relay_path::take_after)
        {
            direct.reset();
        }
        relay_->update(direct, now);
    }
    for (const auto& it : relayed_peers_.expire(now))
    {
        on_agent_down(it);
    }
}

/// Fronts without a disk, in the order of their names.
std::vector<schema::core_address> fleet_node::known_relays() const
{
    std::vector<schema::core_address> out;
    if (options_.tolerated_failures < min_failures_for_relays)
    {
        return out;
    }
    for (const auto& it : hub_->peers())
    {
        if (!it.can_store && !it.address.empty())
        {
            auto& added = out.emplace_back();
            added.set_name(it.name);
            added.set_address(it.address);
        }
    }
    std::ranges::sort(out, {}, &schema::core_address::name);
    out.resize(std::min(out.size(), max_relays));
    return out;
}

/// Starts and stops the dispatcher with the role in the log: the leader that can serve is the
/// dispatcher.
void fleet_node::update_role()
{
    const bool serving = member_->can_serve();
    if (dispatcher_->is_leading() && (!member_->is_leader() || member_->term() != leading_term_))
    {
        dispatcher_->stop_leading();
        withheld_contacts_.clear();
        broadcast_core_view();
    }
    if (serving && !dispatcher_->is_leading())
    {
        leading_term_ = member_->term();
        dispatcher_->lead(member_->term(), member_->earlier_quorum_contact());
        broadcast_core_view();
    }
    if (member_->applied_index() != last_applied_)
    {
        last_applied_ = member_->applied_index();
        dispatcher_->on_applied(last_applied_);
    }
}

schema::core_view fleet_node::known_core_view(bool with_relays) const
{
    if (!is_dispatcher())
    {
        return locator_.relayed_view();
    }
    schema::core_view out;
    out.set_term(member_->term());
    out.set_leader(link_name_);
    out.set_serving(true);
    for (const auto& it : member_->members().members())
    {
        auto& added = *out.add_members();
        added.set_name(it.name());
        added.set_address(it.address());
    }
    if (with_relays)
    {
        for (auto& it : known_relays())
        {
            *out.add_relays() = std::move(it);
        }
    }
    return out;
}

void fleet_node::broadcast_core_view()
{
    const auto now = clock_.now();
    next_broadcast_ = now + broadcast_interval;
    std::string relays;
    for (const auto& it : known_relays())
    {
        absl::StrAppend(&relays, it.name(), ";");
    }
    const bool with_relays = relays != announced_relays_ || now >= next_relays_;
    if (with_relays)
    {
        announced_relays_ = relays;
        next_relays_ = now + relays_interval;
    }
    schema::envelope message;
    *message.mutable_core_view() = known_core_view(with_relays);
    for (const auto& it : hub_->peers())
    {
        hub_->send(base::node_name(it.name), message);
    }
}

void fleet_node::on_link_up(const net::link_peer& peer)
{
    schema::envelope message;
    *message.mutable_core_view() = known_core_view(true);
    hub_->send(base::node_name(peer.name), message);
    path_->on_link_up(peer, clock_.now());
}

void fleet_node::on_message(const net::link_peer& from, const schema::envelope& message) noexcept
{
    switch (message.body_case())
    {
    case schema::envelope::kCoreView:
        if (locator_.on_view(from.name, message.core_view(), clock_.now()))
        {
            // Processes that are linked only to this one learn the new members from it.
            broadcast_core_view();
        }
        if (relay_ && message.core_view().serving())
        {
            relay_->on_view(from.name);
        }
        break;
    case schema::envelope::kRelayRequest:
        if (relay_)
        {
            relay_->on_request(from.name, clock_.now());
        }
        break;
    case schema::envelope::kRelayed:
        on_relayed(from, message.relayed());
        break;
    case schema::envelope::kFrontRequest:
        relayed_peers_.on_direct(from.name);
        [[fallthrough]];
    case schema::envelope::kEndpointReport:
        on_dispatcher_message(from.name, from.name, message);
        break;
    case schema::envelope::kContact:
        on_dispatcher_message(from.name, from.name, message);
        return;
    case schema::envelope::kFrontAnswer:
        requests_.on_answer(message.front_answer());
        break;
    default:
        if (member_)
        {
            member_->receive(from, message);
        }
    }
    schedule_tick();
}

void fleet_node::on_dispatcher_message(const std::string& peer, const std::string& link,
                                       const schema::envelope& message)
{
    if (message.has_endpoint_report())
    {
        dispatcher_->on_report(link, message.endpoint_report());
        if (const auto it = withheld_contacts_.find(link); it != withheld_contacts_.end())
        {
            confirm_contact(link, it->second);
        }
    }
    else if (message.has_front_request() && is_dispatcher())
    {
        dispatcher_->on_front_request(peer, message.front_request());
    }
    else if (message.has_contact())
    {
        confirm_contact(link, message.contact());
    }
}

/// Answers the query, or keeps it until the agent has listed its runs.
void fleet_node::confirm_contact(const std::string& link, schema::contact query)
{
    if (!is_dispatcher() || query.term() != member_->term())
    {
        return;
    }
    if (!dispatcher_->may_confirm(link))
    {
        withheld_contacts_[link] = std::move(query);
        return;
    }
    withheld_contacts_.erase(link);
    const auto quorum_age = clock_.now() - member_->quorum_contact();
    schema::envelope reply;
    *reply.mutable_contact() = std::move(query);
    reply.mutable_contact()->set_is_reply(true);
    reply.mutable_contact()->set_quorum_age_ms(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(absl::Ceil(quorum_age, absl::Milliseconds(1)))));
    send_to(link, std::move(reply));
}

void fleet_node::on_relayed(const net::link_peer& from, const schema::relayed& message)
{
    if (relay_ && relay_->on_relayed(from.name, message))
    {
        return;
    }
    if (!member_)
    {
        const auto* inner = path_->on_relayed(from, message, clock_.now());
        if (inner != nullptr && inner->has_front_answer())
        {
            requests_.on_answer(inner->front_answer());
        }
        return;
    }
    if (!is_dispatcher() || from.can_store || from.address.empty())
    {
        return;
    }
    if (!message.has_message())
    {
        if (const auto link = relayed_peers_.remove(message.peer(), from.name); !link.empty())
        {
            on_agent_down(link);
        }
        return;
    }
    if (!dispatch::may_relay_up(message.message()))
    {
        return;
    }
    if (const auto link = relayed_peers_.on_message(message.peer(), from.name, clock_.now());
        !link.empty())
    {
        on_dispatcher_message(message.peer(), link, message.message());
    }
}

void fleet_node::send_to(const std::string& link, schema::envelope message)
{
    const auto* route = relayed_peers_.find(link);
    if (route == nullptr)
    {
        hub_->send(base::node_name(link), std::move(message));
        return;
    }
    schema::envelope outer;
    outer.mutable_relayed()->set_peer(route->peer);
    *outer.mutable_relayed()->mutable_message() = std::move(message);
    hub_->send(base::node_name(route->relay), std::move(outer));
}

void fleet_node::on_link_down(const net::link_peer& peer, const std::string& reason) noexcept
{
    events_.record("link_lost", {{"peer", peer.name}, {"reason", reason}});
    locator_.on_down(peer.name);
    path_->on_link_down(peer.name);
    if (relay_)
    {
        relay_->on_link_down(peer.name);
    }
    on_agent_down(peer.name);
    for (const auto& it : relayed_peers_.remove_relay(peer.name))
    {
        on_agent_down(it);
    }
    schedule_tick();
}

void fleet_node::on_agent_down(const std::string& link)
{
    withheld_contacts_.erase(link);
    dispatcher_->on_agent_down(link);
}

void fleet_node::send_orders(const std::string& agent, schema::endpoint_orders orders)
{
    schema::envelope message;
    *message.mutable_endpoint_orders() = std::move(orders);
    send_to(agent, std::move(message));
}

void fleet_node::answer(const std::string& front, schema::front_answer answer)
{
    if (front == link_name_)
    {
        // Posted, since the dispatcher is still on the call stack.
        boost::asio::post(io_, [this, answer = std::move(answer)]() noexcept
                          { requests_.on_answer(answer); });
        return;
    }
    schema::envelope message;
    *message.mutable_front_answer() = std::move(answer);
    const auto* route = relayed_peers_.latest(front);
    send_to(route != nullptr ? dispatch::relayed_link_name(front, route->relay) : front,
            std::move(message));
}

std::optional<std::uint64_t> fleet_node::propose(schema::command command)
{
    return member_ ? member_->propose(std::move(command)) : std::nullopt;
}

void fleet_node::send_request(const std::string& dispatcher, schema::front_request request)
{
    if (dispatcher == link_name_)
    {
        boost::asio::post(io_,
                          [this, request = std::move(request)]() noexcept
                          {
                              if (is_dispatcher())
                              {
                                  dispatcher_->on_front_request(link_name_, request);
                                  schedule_tick();
                              }
                          });
        return;
    }
    schema::envelope message;
    *message.mutable_front_request() = std::move(request);
    path_->send(dispatcher, std::move(message));
}

/// A leader without recent contact to a majority makes no decisions but keeps its state, since the
/// contact may return before another leader is elected.
bool fleet_node::is_dispatcher() const
{
    return dispatcher_ && dispatcher_->is_leading() && member_->can_serve();
}

bool fleet_node::is_ready() const
{
    return requests_.has_dispatcher();
}

void fleet_node::begin_drain(absl::Time end)
{
    requests_.end_by(end);
    if (member_)
    {
        member_->retire();
    }
    schedule_tick();
}

void fleet_node::stop()
{
    hub_->stop();
    ticks_.stop();
}

std::string fleet_node::metrics_text()
{
    const auto counts = dispatcher_->counts();
    const auto gauge = [this](const char* name, const char* help, double value)
    {
        metrics_.gauge_of(name, help) = value;
    };
    const auto counter = [this](const char* name, const char* help, std::uint64_t value)
    {
        metrics_.counter_of(name, help) = value;
    };
    gauge("savoryreach_leads", "1 while this process is the dispatcher",
          dispatcher_->is_leading() ? 1.0 : 0.0);
    gauge("savoryreach_pending_requests", "requests that were read and not answered",
          static_cast<double>(requests_.pending()));
    gauge("savoryreach_jobs", "jobs accepted and not ended", static_cast<double>(counts.jobs));
    gauge("savoryreach_endpoints", "hosts that may run tasks",
          static_cast<double>(counts.endpoints));
    for (const auto& [state, number] : dispatcher_->endpoints_by_state())
    {
        metrics_.gauge_of("savoryreach_endpoints_by_state", "endpoints of the dispatcher, by state",
                          {{"state", state}}) = static_cast<double>(number);
    }
    if (member_)
    {
        gauge("savoryreach_evacuated_data_centres", "data centres that are being evacuated",
              static_cast<double>(member_->store().evacuated().size()));
        const auto failed_since = member_->failed_since();
        gauge("savoryreach_storage_failed_seconds",
              "time for which the disk has refused writes and this member has not counted",
              failed_since ? absl::ToDoubleSeconds(clock_.now() - *failed_since) : 0.0);
        counter("savoryreach_storage_failures_total", "times that the disk refused a write",
                member_->storage_failures());
    }
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
    gauge("savoryreach_relay_path", "1 while a relay is the path to the dispatcher",
          path_->is_relayed() ? 1.0 : 0.0);
    gauge("savoryreach_relayed_links", "peers that the dispatcher hears through relays",
          static_cast<double>(relayed_peers_.size()));
    write_descriptor_metrics(metrics_);
    hub_->write_metrics(metrics_);
    link_rejections_.write_metrics(metrics_);
    for (const auto& it : metric_sources_)
    {
        it(metrics_);
    }
    return metrics_.to_text();
}

} // namespace savoryreach::daemon
