#include "savoryreach/entry/agent_table.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace savoryreach::entry
{

agent_table::agent_table(entry_context& context, membership& members, placement& endpoints,
                         hooks callbacks)
    : context_(context), members_(members), endpoints_(endpoints), callbacks_(std::move(callbacks))
{
}

void agent_table::clear()
{
    for (const auto& [name, link] : current_)
    {
        endpoints_.endpoint_left(name);
    }
    dirty_.clear();
    wake_ups_.clear();
    recall_timers_.clear();
    demand_.clear();
    delays_.clear();
    current_.clear();
    links_.clear();
    live_ = 0;
    accept_all_ = 0;
    accepting_.clear();
}

void agent_table::erase(agent_link& link)
{
    std::erase(dirty_, &link);
    wake_ups_.remove(link);
    recall_timers_.remove(link);
    demand_.remove(link);
    links_.erase(agent_instance(link.agent));
}

void agent_table::set_timer(agent_link& link)
{
    wake_ups_.set(link, link.session.deadline());
    if (link.phase == link_phase::live)
    {
        wake_ups_.set(link, link.last_message_at + suspect_after);
    }
    else if (link.phase == link_phase::suspected)
    {
        wake_ups_.set(link, std::max(link.lease_until, link.last_message_at) + stop_time);
    }
}

void agent_table::mark_dirty(agent_link& link)
{
    if (!std::exchange(link.is_dirty, true))
    {
        dirty_.push_back(&link);
    }
}

void agent_table::update_delay(const agent_link& link, absl::Duration round_trip)
{
    const auto& name = link.properties.data_centre;
    if (const auto delay = delays_.set(name, link.number, round_trip))
    {
        endpoints_.set_one_way_delay(name, *delay);
    }
}

void agent_table::count_kinds(const agent_link& link, int change)
{
    const auto& kinds = link.properties.kinds;
    if (kinds.empty())
    {
        accept_all_ += static_cast<std::size_t>(change);
    }
    for (const auto& kind : kinds)
    {
        accepting_[kind] += static_cast<std::size_t>(change);
    }
}

agent_link* agent_table::find(const base::node_name& agent)
{
    const auto it = current_.find(agent);
    return it != current_.end() ? it->second : nullptr;
}

agent_link* agent_table::find(const agent_instance& life)
{
    const auto it = links_.find(life);
    return it != links_.end() ? it->second.get() : nullptr;
}

bool agent_table::accept_incarnation(const base::node_name& from,
                                     const schema::agent_hello& message)
{
    auto* known = find(from);
    if (known != nullptr && known->agent.incarnation == message.incarnation())
    {
        return true;
    }
    const bool is_older = known != nullptr && known->agent.incarnation > message.incarnation();
    if (is_older || message.incarnation() == 0 || links_.size() >= max_agents)
    {
        return false;
    }
    if (known != nullptr)
    {
        supersede(*known);
    }
    auto link = std::make_unique<agent_link>(agent_instance{from, message.incarnation()},
                                             members_.epoch(), ++last_link_number_);
    link->last_message_at = context_.now();
    current_[from] = link.get();
    ++live_;
    count_kinds(*link, 1);
    links_[link->agent] = std::move(link);
    context_.ports.events.record(
        "agent_joined",
        {{"peer", from.value()}, {"incarnation", absl::StrCat(message.incarnation())}});
    return true;
}

void agent_table::supersede(agent_link& link)
{
    link.is_superseded = true;
    live_ -= link.phase == link_phase::live ? 1 : 0;
    count_kinds(link, -1);
    update_delay(link, absl::ZeroDuration());
    endpoints_.endpoint_left(link.agent.name);
    demand_.update(link);
    if (link.phase == link_phase::lost)
    {
        erase(link);
    }
}

void agent_table::receive_hello(const base::node_name& from, const schema::agent_hello& message)
{
    if (members_.epoch() == 0 || from.value() != message.agent() ||
        !accept_incarnation(from, message))
    {
        return;
    }
    auto& link = *find(from);
    update_properties(link, message);
    const bool is_stalled = link.is_stalled(context_.now());
    if (!is_stalled)
    {
        link.last_message_at = context_.now();
    }
    if ((link.phase == link_phase::suspected && !is_stalled) ||
        (link.phase == link_phase::lost && link.session.unacknowledged() == 0))
    {
        set_phase(link, link_phase::live);
    }
    send_reply(link, message);
    update_credit(link);
    set_timer(link);
}

void agent_table::update_properties(agent_link& link, const schema::agent_hello& message)
{
    endpoint_properties properties;
    properties.agent = link.agent.name;
    properties.data_centre = message.data_centre();
    properties.slots = message.slots();
    properties.kinds.assign(message.kinds().begin(), message.kinds().end());
    const bool is_same = properties.slots == link.properties.slots &&
                         properties.kinds == link.properties.kinds &&
                         properties.data_centre == link.properties.data_centre;
    if (!is_same || link.properties.agent.empty())
    {
        demand_.remove(link);
        count_kinds(link, -1);
        update_delay(link, absl::ZeroDuration());
        link.properties = std::move(properties);
        count_kinds(link, 1);
        if (link.phase != link_phase::lost)
        {
            endpoints_.endpoint_joined(link.properties);
        }
    }
    update_delay(link, absl::Microseconds(message.round_trip_us()));
    link.is_draining = message.draining();
    link.config_revision = message.config_revision();
    for (const auto& it : message.counters())
    {
        endpoints_.update_counters(link.agent.name, it.kind(), it.succeeded(), it.failed(),
                                   absl::Microseconds(it.run_us_total()));
    }
}

void agent_table::send_reply(agent_link& link, const schema::agent_hello& message)
{
    const auto now = context_.now();
    schema::envelope envelope;
    auto& body = *envelope.mutable_agent_hello_reply();
    body.set_entry(context_.self.value());
    body.set_epoch(members_.epoch());
    body.set_incarnation(link.agent.incarnation);
    body.set_request_id(message.request_id());
    // A lost agent gets no lease until it has received all starts that were queued before the loss:
    // without a lease it discards them, and their tasks may run elsewhere by now.
    if (members_.has_lease() && link.phase == link_phase::live)
    {
        const auto lease = std::min(session_lease, members_.lease_until() - now);
        body.set_lease_ms(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(lease)));
        link.lease_until = std::max(link.lease_until, now + lease);
    }
    // Members are sent only to agents that lack them: sent in every reply, they would cost each
    // agent traffic quadratic in the number of entries.
    const bool with_members = message.membership_revision() < members_.membership_revision();
    *body.mutable_view() = members_.view_for(link.config_revision, with_members);
    link.reported_demand = callbacks_.waiting_tasks(link.properties.kinds);
    body.set_demand(link.reported_demand);
    body.set_draining(members_.is_leaving());
    context_.send(link.agent.name, std::move(envelope));
}

void agent_table::receive_frame(const base::node_name& from, const schema::session_frame& frame)
{
    auto* link = find(agent_instance{from, frame.incarnation()});
    if (link == nullptr || frame.epoch() != link->session.epoch())
    {
        return;
    }
    link->acknowledged_at = context_.now();
    const auto items = link->session.receive(frame, context_.now());
    wake_ups_.set(*link, link->session.deadline());
    for (const auto& item : items)
    {
        if (item.has_credit())
        {
            link->credit_limit = std::max(link->credit_limit, item.credit().limit());
            update_credit(*link);
        }
        else
        {
            callbacks_.item_received(*link, item);
        }
    }
}

void agent_table::update_credit(agent_link& link)
{
    if (!link.is_superseded)
    {
        endpoints_.set_credit(link.agent.name, link.credit());
    }
    demand_.update(link);
}

void agent_table::count_start(agent_link& link)
{
    ++link.sent;
    demand_.update(link);
}

void agent_table::attempt_ended(const agent_link& link, const job& it, attempt_result result,
                                absl::Duration run_time)
{
    // The placement knows the current incarnation only.
    if (!link.is_superseded && link.phase != link_phase::lost)
    {
        endpoints_.attempt_ended(link.agent.name, it.submission.kind(),
                                 static_cast<std::uint64_t>(it.number), result, run_time,
                                 context_.now());
    }
}

void agent_table::set_phase(agent_link& link, link_phase phase)
{
    const bool was_lost = link.phase == link_phase::lost;
    const bool was_live = link.phase == link_phase::live;
    link.phase = phase;
    if (link.is_superseded)
    {
        return;
    }
    live_ += phase == link_phase::live ? 1 : 0;
    live_ -= was_live ? 1 : 0;
    if (phase == link_phase::lost)
    {
        update_delay(link, absl::ZeroDuration());
        endpoints_.endpoint_left(link.agent.name);
    }
    else if (was_lost)
    {
        endpoints_.endpoint_joined(link.properties);
    }
    update_credit(link);
}

void agent_table::check_deadlines(agent_link& link, absl::Time now)
{
    if (link.phase == link_phase::live && link.last_message_at + suspect_after <= now)
    {
        context_.ports.events.record("agent_suspected", {{"peer", link.agent.name.value()}});
        set_phase(link, link_phase::suspected);
    }
    const bool is_over = std::max(link.lease_until, link.last_message_at) + stop_time <= now;
    if (link.phase == link_phase::suspected && is_over)
    {
        context_.ports.events.record("agent_lost", {{"peer", link.agent.name.value()}});
        set_phase(link, link_phase::lost);
        callbacks_.agent_lost(link);
    }
}

void agent_table::tick()
{
    const auto now = context_.now();
    for (auto* link : wake_ups_.take_due(now))
    {
        check_deadlines(*link, now);
        if (link->is_superseded && link->phase == link_phase::lost)
        {
            erase(*link);
            continue;
        }
        set_timer(*link);
        mark_dirty(*link);
    }
}

void agent_table::push(agent_link& link, schema::session_item item)
{
    push_by(link, std::move(item), context_.now());
    mark_dirty(link);
}

void agent_table::push_later(agent_link& link, schema::session_item item)
{
    push_by(link, std::move(item), context_.now() + release_delay);
    if (!link.is_dirty)
    {
        wake_ups_.set(link, link.session.deadline());
    }
}

void agent_table::push_by(agent_link& link, schema::session_item item, absl::Time send_by)
{
    if (link.session.unacknowledged() == 0)
    {
        link.acknowledged_at = context_.now();
    }
    link.session.push_by(std::move(item), send_by);
}

void agent_table::report_demand(absl::Time now)
{
    if (now < next_demand_check_)
    {
        return;
    }
    next_demand_check_ = now + demand_check_interval;
    for (auto* link : demand_.candidates(callbacks_.waiting_tasks({})))
    {
        report_demand(*link, now);
    }
}

void agent_table::report_demand(agent_link& link, absl::Time now)
{
    if (link.phase != link_phase::live ||
        link.demand_reported_at + min_demand_report_interval > now)
    {
        return;
    }
    const auto demand = callbacks_.waiting_tasks(link.properties.kinds);
    const auto known = link.reported_demand;
    // A report costs a message, so an agent that has credit left gets none.
    const bool is_needed =
        link.credit() == 0 && demand_report_index::is_significant_increase(demand, known);
    const bool is_over = demand == 0 && known > 0;
    if (is_needed || is_over)
    {
        schema::session_item item;
        item.mutable_demand()->set_waiting(demand);
        link.reported_demand = demand;
        link.demand_reported_at = now;
        demand_.update(link);
        is_needed ? push(link, std::move(item)) : push_later(link, std::move(item));
    }
}

void agent_table::send_frames(agent_link& link, absl::Time now)
{
    while (auto frame = link.session.poll(now))
    {
        schema::envelope envelope;
        *envelope.mutable_session() = std::move(*frame);
        context_.send(link.agent.name, std::move(envelope));
    }
}

void agent_table::flush()
{
    const auto now = context_.now();
    report_demand(now);
    for (auto* link : std::exchange(dirty_, {}))
    {
        link->is_dirty = false;
        send_frames(*link, now);
        wake_ups_.set(*link, link->session.deadline());
    }
}

bool agent_table::accepts(const std::string& kind) const
{
    const auto it = accepting_.find(kind);
    return accept_all_ > 0 || (it != accepting_.end() && it->second > 0);
}

membership::agent_progress agent_table::progress() const
{
    membership::agent_progress progress{members_.config_revision(), 0};
    for (const auto& [name, link] : current_)
    {
        if (link->phase != link_phase::lost && link->config_revision < members_.config_revision())
        {
            progress.slowest_revision = std::min(progress.slowest_revision, link->config_revision);
            ++progress.lagging;
        }
    }
    return progress;
}

void agent_table::for_each(const std::function<void(const agent_link&)>& visit) const
{
    for (const auto& [life, link] : links_)
    {
        visit(*link);
    }
}

} // namespace savoryreach::entry
