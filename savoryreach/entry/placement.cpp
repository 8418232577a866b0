#include "savoryreach/entry/placement.hpp"

#include "savoryreach/entry/placement_state.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

/// Run time assumed when neither a learned nor a declared one is known.
constexpr absl::Duration default_run_time = absl::Milliseconds(500);

absl::Duration declared_or_default(absl::Duration declared)
{
    return declared > absl::ZeroDuration() ? declared : default_run_time;
}

} // namespace

placement::placement() : state_(std::make_unique<state>()) {}

placement::~placement() = default;

void placement::apply(const schema::endpoint_policy& policy)
{
    state_->max_set_aside = policy.max_set_aside_percent();
    state_->limit_set_aside();
}

void placement::set_one_way_delay(const std::string& data_centre, absl::Duration delay)
{
    state& s = *state_;
    s.delays[s.find_or_add_data_centre(data_centre)] = delay;
}

void placement::endpoint_joined(const endpoint_properties& properties)
{
    state& s = *state_;
    endpoint_left(properties.agent);
    const auto [it, added] =
        s.endpoint_index.try_emplace(properties.agent, static_cast<state::id>(s.endpoints.size()));
    const state::id id = it->second;
    if (added)
    {
        s.endpoints.emplace_back();
    }
    state::endpoint& e = s.endpoints[id];
    e = state::endpoint{};
    e.agent = properties.agent;
    e.data_centre = s.find_or_add_data_centre(properties.data_centre);
    e.slots = properties.slots;
    e.accepts_all = properties.kinds.empty();
    for (const std::string& kind : properties.kinds)
    {
        const std::uint32_t index = s.find_or_add_kind(kind);
        s.endpoints[id].accepts.resize(std::max<std::size_t>(e.accepts.size(), index + 1));
        s.endpoints[id].accepts[index] = true;
    }
    s.health.joined(id);
    s.endpoints[id].present = true;
    ++s.present_endpoints;
    s.count_all(id, 1);
}

void placement::endpoint_left(const base::node_name& agent)
{
    state& s = *state_;
    const auto id = s.find(agent);
    if (!id)
    {
        return;
    }
    s.count_all(*id, -1);
    s.health.left(*id);
    s.endpoints[*id].present = false;
    s.endpoints[*id].credit = 0;
    s.endpoints[*id].in_flight = 0;
    --s.present_endpoints;
    for (auto& kind : s.kinds)
    {
        kind.estimates.unlist(*id);
        kind.estimates.clear_in_flight(*id);
    }
    s.limit_set_aside();
}

void placement::set_credit(const base::node_name& agent, std::uint32_t credit)
{
    state& s = *state_;
    const auto id = s.find(agent);
    if (!id)
    {
        return;
    }
    std::uint32_t& current = s.endpoints[*id].credit;
    const bool listing_changes = (current > 0) != (credit > 0);
    current = credit;
    if (listing_changes)
    {
        s.rerank_all(*id);
    }
}

void placement::update_counters(const base::node_name& agent, const std::string& kind,
                                std::uint64_t succeeded, std::uint64_t /*failed*/,
                                absl::Duration run_total)
{
    // Failures are ignored: the counters do not distinguish a failing job from a failing endpoint.
    state& s = *state_;
    const auto id = s.find(agent);
    if (!id)
    {
        return;
    }
    const std::uint32_t index = s.find_or_add_kind(kind);
    state::endpoint& e = s.endpoints[*id];
    if (index >= e.reported.size())
    {
        e.reported.resize(index + 1);
    }
    state::counters& last = e.reported[index];
    if (succeeded < last.succeeded || run_total < last.run_total)
    {
        // A new incarnation of the agent counts from zero.
        last = {};
    }
    const std::uint64_t tasks = succeeded - last.succeeded;
    const absl::Duration run = run_total - last.run_total;
    last = {succeeded, run_total};
    if (tasks == 0)
    {
        return;
    }
    s.kinds[index].estimates.add_samples(*id,
                                         absl::ToDoubleSeconds(run) / static_cast<double>(tasks),
                                         static_cast<double>(tasks), s.latest_time);
    s.rerank(*id, index);
}

bool placement::is_runnable(const std::string& kind) const
{
    return state_->kinds[state_->find_kind(kind)].estimates.has_listed();
}

bool placement::is_runnable_elsewhere(const std::string& kind, const base::node_name& agent) const
{
    const auto& estimates = state_->kinds[state_->find_kind(kind)].estimates;
    const auto id = state_->find(agent);
    const std::size_t here = id && estimates.is_listed(*id) ? 1 : 0;
    return estimates.listed() > here;
}

bool placement::can_ever_run(const std::string& kind) const
{
    return state_->kinds[state_->find_kind(kind)].endpoints > 0;
}

std::optional<base::node_name> placement::choose(const placement_request& request, absl::Time now)
{
    state& s = *state_;
    s.latest_time = std::max(s.latest_time, now);
    const std::uint32_t kind = s.find_or_add_kind(request.kind);
    for (const state::id it : s.health.expire_penalties(now))
    {
        s.apply_health(it);
    }
    auto chosen = s.find_probe(request, kind, now);
    if (!chosen)
    {
        chosen = s.find_best(request, kind);
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    s.start_attempt(*chosen, kind);
    return s.endpoints[*chosen].agent;
}

void placement::attempt_ended(const base::node_name& agent, const std::string& kind,
                              std::uint64_t job, attempt_result result, absl::Duration run_time,
                              absl::Time now)
{
    state& s = *state_;
    s.latest_time = std::max(s.latest_time, now);
    const auto id = s.find(agent);
    if (!id)
    {
        return;
    }
    const std::uint32_t index = s.find_or_add_kind(kind);
    auto& estimates = s.kinds[index].estimates;
    state::endpoint& e = s.endpoints[*id];
    const bool load_changes = e.in_flight >= e.slots;
    if (e.in_flight > 0)
    {
        --e.in_flight;
    }
    estimates.attempt_ended(*id);
    const auto may_set_aside = [&s](state::id candidate)
    {
        return s.may_set_aside(candidate);
    };
    endpoint_health::id_list changed;
    switch (result)
    {
    case attempt_result::succeeded:
        estimates.add_samples(*id, absl::ToDoubleSeconds(run_time), 1, now);
        changed = s.health.succeeded(*id, job, now, may_set_aside);
        break;
    case attempt_result::failed:
        changed = s.health.failed(*id, job, now, may_set_aside);
        break;
    case attempt_result::not_started:
        s.health.not_started(*id, now);
        break;
    }
    for (const state::id it : changed)
    {
        s.apply_health(it);
    }
    if (load_changes)
    {
        s.rerank_all(*id);
    }
    else
    {
        s.rerank(*id, index);
    }
    s.age_next_endpoint(now);
}

absl::Duration placement::expected_run(const std::string& kind, absl::Duration declared) const
{
    const auto& estimates = state_->kinds[state_->find_kind(kind)].estimates;
    return absl::Seconds(
        estimates.fleet_mean(absl::ToDoubleSeconds(declared_or_default(declared))));
}

absl::Duration placement::expected_run_at(const base::node_name& agent,
                                          const std::string& kind) const
{
    const auto& estimates = state_->kinds[state_->find_kind(kind)].estimates;
    const auto id = state_->find(agent);
    const double unknown = absl::ToDoubleSeconds(default_run_time);
    return absl::Seconds(id ? estimates.expected_at(*id, unknown) : estimates.fleet_mean(unknown));
}

std::uint32_t placement::usable_slots(const std::string& kind) const
{
    return state_->kinds[state_->find_kind(kind)].usable_slots;
}

bool placement::is_set_aside(const base::node_name& agent) const
{
    const auto id = state_->find(agent);
    return id && state_->health.is_set_aside(*id);
}

} // namespace savoryreach::entry
