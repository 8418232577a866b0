#include "savoryreach/entry/placement_state.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace savoryreach::entry
{
namespace
{

/// A probe may fail a real task, so at most one start in 20 is a probe: half of the default retry
/// budget of 10 %.
constexpr std::uint32_t min_starts_per_probe = 20;
/// A task waits only if a start now would take this many times as long as waiting. With a lower
/// factor the error of the estimates would decide.
constexpr double min_wait_advantage = 1.5;
/// Relative error of an estimated run time; one bucket of the ranking is 9 %.
constexpr double relative_estimate_error = 0.1;

/// The best endpoint of one data centre; times in seconds.
struct candidate
{
    std::uint32_t endpoint = 0;
    std::uint64_t last_use = 0;
    double delay = 0;            ///< one way
    double time_at_endpoint = 0; ///< expected wait and run

    /// Times that differ by less than the estimate error count as equal: then the shorter delay
    /// decides, then the least recent use.
    [[nodiscard]] bool is_better_than(const candidate& other) const
    {
        const double difference = time_at_endpoint - other.time_at_endpoint;
        if (std::abs(difference) >
            relative_estimate_error * std::max(time_at_endpoint, other.time_at_endpoint))
        {
            return time_at_endpoint + delay < other.time_at_endpoint + other.delay;
        }
        return delay < other.delay || (delay == other.delay && last_use < other.last_use);
    }
};

double seconds(absl::Duration value)
{
    return absl::ToDoubleSeconds(value);
}

} // namespace

placement::state::state()
{
    kinds.emplace_back();
}

std::uint32_t placement::state::find_or_add_kind(const std::string& name)
{
    const auto [it, added] = kind_index.try_emplace(name, static_cast<std::uint32_t>(kinds.size()));
    if (added)
    {
        const std::uint32_t kind = it->second;
        kinds.emplace_back().name = name;
        for (id i = 0; i < endpoints.size(); ++i)
        {
            if (endpoints[i].present && endpoints[i].accepts_all)
            {
                count(i, kind, 1);
                rerank(i, kind);
            }
        }
        return kind;
    }
    return it->second;
}

std::uint32_t placement::state::find_kind(const std::string& name) const
{
    const auto it = kind_index.find(name);
    return it == kind_index.end() ? 0 : it->second;
}

std::uint32_t placement::state::find_or_add_data_centre(const std::string& name)
{
    const auto [it, added] =
        data_centre_index.try_emplace(name, static_cast<std::uint32_t>(delays.size()));
    if (added)
    {
        delays.push_back(absl::ZeroDuration());
    }
    return it->second;
}

std::optional<placement::state::id> placement::state::find(const base::node_name& agent) const
{
    const auto it = endpoint_index.find(agent);
    if (it == endpoint_index.end() || !endpoints[it->second].present)
    {
        return std::nullopt;
    }
    return it->second;
}

bool placement::state::accepts(const endpoint& e, std::uint32_t kind) const
{
    return e.accepts_all || (kind < e.accepts.size() && e.accepts[kind]);
}

void placement::state::count(id endpoint, std::uint32_t kind, int sign)
{
    const auto& e = endpoints[endpoint];
    if (!accepts(e, kind))
    {
        return;
    }
    auto& k = kinds[kind];
    k.endpoints += sign;
    if (e.counted_set_aside)
    {
        k.set_aside += sign;
    }
    else
    {
        k.usable_slots += sign * static_cast<int>(e.slots);
    }
}

void placement::state::count_all(id endpoint, int sign)
{
    for (std::uint32_t kind = 0; kind < kinds.size(); ++kind)
    {
        count(endpoint, kind, sign);
    }
}

double placement::state::load_factor(id endpoint) const
{
    const auto& e = endpoints[endpoint];
    if (e.in_flight < e.slots || e.slots == 0)
    {
        return 1;
    }
    return 1 + static_cast<double>(e.in_flight + 1 - e.slots) / e.slots;
}

void placement::state::rerank(id endpoint, std::uint32_t kind)
{
    const auto& e = endpoints[endpoint];
    auto& estimates = kinds[kind].estimates;
    if (e.present && e.credit > 0 && accepts(e, kind) && !health.is_set_aside(endpoint))
    {
        estimates.list(endpoint, e.data_centre, load_factor(endpoint) * health.penalty(endpoint));
    }
    else
    {
        estimates.unlist(endpoint);
    }
}

void placement::state::rerank_all(id endpoint)
{
    for (std::uint32_t kind = 0; kind < kinds.size(); ++kind)
    {
        rerank(endpoint, kind);
    }
}

void placement::state::apply_health(id endpoint)
{
    auto& e = endpoints[endpoint];
    if (!e.present)
    {
        return;
    }
    if (e.counted_set_aside != health.is_set_aside(endpoint))
    {
        count_all(endpoint, -1);
        e.counted_set_aside = !e.counted_set_aside;
        count_all(endpoint, 1);
    }
    rerank_all(endpoint);
}

bool placement::state::may_set_aside(id endpoint) const
{
    const std::uint64_t set_aside = health.set_aside_count() + 1;
    if (100 * set_aside > std::uint64_t{max_set_aside} * present_endpoints)
    {
        return false;
    }
    // The bound also holds for each kind, so that no kind loses all of its endpoints.
    for (std::uint32_t kind = 1; kind < kinds.size(); ++kind)
    {
        const auto& k = kinds[kind];
        if (accepts(endpoints[endpoint], kind) &&
            100 * (std::uint64_t{k.set_aside} + 1) > std::uint64_t{max_set_aside} * k.endpoints)
        {
            return false;
        }
    }
    return true;
}

void placement::state::limit_set_aside()
{
    while (100 * health.set_aside_count() > std::uint64_t{max_set_aside} * present_endpoints)
    {
        const auto readmitted = health.readmit_first();
        assert(readmitted.has_value());
        apply_health(*readmitted);
    }
}

double placement::state::delay_to(const placement_request& request, std::uint32_t data_centre) const
{
    double delay = seconds(delays[data_centre]);
    const auto preferred = data_centre_index.find(request.locality);
    if (!request.locality.empty() && preferred != data_centre_index.end() &&
        preferred->second != data_centre)
    {
        // Upper bound of the delay between the two data centres: the path through this entry.
        delay += seconds(delays[preferred->second]) + seconds(delays[data_centre]);
    }
    return delay;
}

std::optional<placement::state::id> placement::state::find_best(const placement_request& request,
                                                                std::uint32_t kind) const
{
    const kind_estimates& estimates = kinds[kind].estimates;
    const double declared = seconds(request.declared_run);
    const auto has_failed = [&](id endpoint)
    {
        const auto& failed = request.failed_agents;
        return !failed.empty() &&
               std::find(failed.begin(), failed.end(), endpoints[endpoint].agent) != failed.end();
    };
    std::optional<candidate> best;
    for (std::uint32_t dc = 0; dc < estimates.rankings().size(); ++dc)
    {
        // The ranking of a data centre is in order of bucket, then of least recent use.
        const auto& ranking = estimates.rankings()[dc];
        const auto first = std::find_if(ranking.begin(), ranking.end(),
                                        [&](const auto& it) { return !has_failed(it.endpoint); });
        if (first == ranking.end())
        {
            continue;
        }
        // Bucket 0: listed before the kind had a run time sample.
        const candidate it{first->endpoint, first->last_use, delay_to(request, dc),
                           first->bucket > 0 ? kind_estimates::seconds_of(*first)
                                             : estimates.expected_at(first->endpoint, declared)};
        if (!best || it.is_better_than(*best))
        {
            best = it;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    const id chosen = best->endpoint;
    const double best_time = best->delay + estimates.expected_at(chosen, declared) *
                                               load_factor(chosen) * health.penalty(chosen);
    if (estimates.completion_by_waiting(request.waiting_tasks, best_time / min_wait_advantage) <
        best_time)
    {
        return std::nullopt;
    }
    return chosen;
}

std::optional<placement::state::id> placement::state::find_probe(const placement_request& request,
                                                                 std::uint32_t kind, absl::Time now)
{
    if (health.set_aside_count() == 0 || starts_since_probe < min_starts_per_probe)
    {
        return std::nullopt;
    }
    const auto is_usable = [&](id candidate)
    {
        const auto& e = endpoints[candidate];
        return e.credit > 0 && accepts(e, kind) &&
               std::find(request.failed_agents.begin(), request.failed_agents.end(), e.agent) ==
                   request.failed_agents.end();
    };
    const auto found = health.find_probe(now, is_usable);
    if (found)
    {
        health.probe_started(*found, now);
        starts_since_probe = 0;
    }
    return found;
}

void placement::state::start_attempt(id endpoint, std::uint32_t kind)
{
    auto& e = endpoints[endpoint];
    assert(e.credit > 0);
    --e.credit;
    ++e.in_flight;
    ++starts_since_probe;
    kinds[kind].estimates.attempt_started(endpoint);
    // The rankings of other kinds change only when the endpoint runs out of credit or free slots.
    if (e.credit == 0 || e.in_flight >= e.slots)
    {
        rerank_all(endpoint);
    }
    else
    {
        rerank(endpoint, kind);
    }
}

void placement::state::age_next_endpoint(absl::Time now)
{
    if (endpoints.empty())
    {
        return;
    }
    last_aged = last_aged + 1 < endpoints.size() ? last_aged + 1 : 0;
    if (!endpoints[last_aged].present)
    {
        return;
    }
    for (std::uint32_t kind = 1; kind < kinds.size(); ++kind)
    {
        if (kinds[kind].estimates.age(last_aged, now))
        {
            rerank(last_aged, kind);
        }
    }
}

} // namespace savoryreach::entry
