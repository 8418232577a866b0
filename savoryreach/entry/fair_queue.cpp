#include "savoryreach/entry/fair_queue.hpp"

#include "savoryreach/entry/share_schedule.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <tuple>
#include <vector>

namespace savoryreach::entry
{
namespace
{

constexpr std::uint32_t highest_urgency = 9;
/// Minimum charge of a start; a zero charge would let a share start tasks without bound.
constexpr double min_cost_s = 1e-6;

/// Order of the jobs of one team: urgency, then deadline, then arrival.
struct job_key
{
    std::uint32_t inverse_urgency = 0; ///< 0 is the most urgent
    absl::Time answer_by;
    job_number number{};

    friend bool operator<(const job_key& a, const job_key& b)
    {
        return std::tie(a.inverse_urgency, a.answer_by, a.number) <
               std::tie(b.inverse_urgency, b.answer_by, b.number);
    }
};

/// The jobs of one team within one kind.
struct team_jobs
{
    absl::btree_set<job_key> startable; ///< jobs with waiting tasks
    std::uint32_t counted_urgency = 0;  ///< as counted in kind_state::urgencies, while active
    bool active = false;                ///< competes for slots of the kind
};

struct kind_state
{
    std::string name;
    double urgency_bound = 0;     ///< slot seconds
    std::size_t waiting = 0;      ///< tasks
    share_schedule schedule;      ///< of teams, by team index
    std::vector<team_jobs> teams; ///< by team index
    /// Number of active teams by the urgency of their first job.
    std::array<std::uint32_t, highest_urgency + 1> urgencies{};
};

struct team_state
{
    std::string name;
    double weight = 1;
    std::uint32_t slot_limit = 0; ///< 0 means no bound
    std::uint32_t slots_in_use = 0;

    [[nodiscard]] bool at_limit() const { return slot_limit > 0 && slots_in_use >= slot_limit; }
};

struct job_state
{
    std::uint32_t kind = 0; ///< index
    std::uint32_t team = 0; ///< index
    std::uint32_t waiting = 0;
    job_key key;
};

} // namespace

struct fair_queue::state
{
    std::vector<kind_state> kinds;
    std::vector<team_state> teams;
    absl::flat_hash_map<std::string, std::uint32_t> kind_index;
    absl::flat_hash_map<std::string, std::uint32_t> team_index;
    absl::flat_hash_map<job_number, job_state> jobs;
    share_schedule schedule; ///< of kinds, by kind index
    std::size_t waiting = 0; ///< tasks

    std::uint32_t find_or_add_kind(const std::string& name);
    std::uint32_t find_or_add_team(const std::string& name);
    team_jobs& jobs_of(std::uint32_t kind, std::uint32_t team);
    void update_share(std::uint32_t kind, std::uint32_t team);
    void update_team_shares(std::uint32_t team);
    void update_kind_share(std::uint32_t kind);
    void add_waiting(job_state& job, std::uint32_t n);
};

std::uint32_t fair_queue::state::find_or_add_kind(const std::string& name)
{
    const auto [it, added] = kind_index.try_emplace(name, static_cast<std::uint32_t>(kinds.size()));
    if (added)
    {
        kinds.emplace_back().name = name;
    }
    return it->second;
}

std::uint32_t fair_queue::state::find_or_add_team(const std::string& name)
{
    const auto [it, added] = team_index.try_emplace(name, static_cast<std::uint32_t>(teams.size()));
    if (added)
    {
        teams.emplace_back().name = name;
    }
    return it->second;
}

team_jobs& fair_queue::state::jobs_of(std::uint32_t kind, std::uint32_t team)
{
    kind_state& k = kinds[kind];
    if (team >= k.teams.size())
    {
        k.teams.resize(team + 1);
        k.schedule.set_weight(team, teams[team].weight);
    }
    return k.teams[team];
}

/// Updates the schedules after a change of the jobs or the slot limit of one team within one kind.
void fair_queue::state::update_share(std::uint32_t kind, std::uint32_t team)
{
    kind_state& k = kinds[kind];
    team_jobs& t = jobs_of(kind, team);
    const bool active = !t.startable.empty() && !teams[team].at_limit();
    if (t.active)
    {
        --k.urgencies[t.counted_urgency];
    }
    if (active)
    {
        t.counted_urgency = highest_urgency - t.startable.begin()->inverse_urgency;
        ++k.urgencies[t.counted_urgency];
        k.schedule.set_advance(team, k.urgency_bound * t.counted_urgency / highest_urgency);
        k.schedule.set_weight(team, teams[team].weight);
        k.schedule.activate(team);
    }
    else
    {
        k.schedule.deactivate(team);
    }
    t.active = active;
    update_kind_share(kind);
}

void fair_queue::state::update_kind_share(std::uint32_t kind)
{
    kind_state& k = kinds[kind];
    if (k.schedule.empty())
    {
        schedule.deactivate(kind);
        return;
    }
    std::uint32_t urgency = highest_urgency;
    while (urgency > 0 && k.urgencies[urgency] == 0)
    {
        --urgency;
    }
    schedule.set_advance(kind, k.urgency_bound * urgency / highest_urgency);
    schedule.activate(kind);
}

void fair_queue::state::update_team_shares(std::uint32_t team)
{
    for (std::uint32_t kind = 0; kind < kinds.size(); ++kind)
    {
        if (team < kinds[kind].teams.size())
        {
            update_share(kind, team);
        }
    }
}

void fair_queue::state::add_waiting(job_state& job, std::uint32_t n)
{
    if (n == 0)
    {
        return;
    }
    const bool was_startable = job.waiting > 0;
    job.waiting += n;
    kinds[job.kind].waiting += n;
    waiting += n;
    if (!was_startable)
    {
        jobs_of(job.kind, job.team).startable.insert(job.key);
        update_share(job.kind, job.team);
    }
}

fair_queue::fair_queue() : state_(std::make_unique<state>()) {}

fair_queue::~fair_queue() = default;

void fair_queue::apply(const schema::kind_policy& policy)
{
    state& s = *state_;
    const std::uint32_t kind = s.find_or_add_kind(policy.kind());
    kind_state& k = s.kinds[kind];
    s.schedule.set_weight(kind, std::max<std::uint32_t>(1, policy.weight()));
    k.urgency_bound = policy.urgency_bound_ms() / 1000.0;
    for (std::uint32_t team = 0; team < k.teams.size(); ++team)
    {
        s.update_share(kind, team);
    }
}

void fair_queue::apply(const schema::team_quota& quota)
{
    state& s = *state_;
    const std::uint32_t team = s.find_or_add_team(quota.team());
    s.teams[team].weight = std::max<std::uint32_t>(1, quota.weight());
    s.update_team_shares(team);
}

void fair_queue::set_team_slot_limit(const std::string& team, std::uint32_t slots)
{
    state& s = *state_;
    const std::uint32_t index = s.find_or_add_team(team);
    s.teams[index].slot_limit = slots;
    s.update_team_shares(index);
}

void fair_queue::add(const queued_job& job)
{
    state& s = *state_;
    job_state queued;
    queued.kind = s.find_or_add_kind(job.kind);
    queued.team = s.find_or_add_team(job.team);
    queued.key = {highest_urgency - std::min(job.urgency, highest_urgency), job.answer_by,
                  job.number};
    const auto [it, added] = s.jobs.try_emplace(job.number, queued);
    assert(added && "job is already queued");
    s.add_waiting(it->second, job.waiting_tasks);
}

void fair_queue::requeue(job_number job, std::uint32_t n)
{
    const auto it = state_->jobs.find(job);
    if (it != state_->jobs.end())
    {
        state_->add_waiting(it->second, n);
    }
}

void fair_queue::remove(job_number job)
{
    state& s = *state_;
    const auto it = s.jobs.find(job);
    if (it == s.jobs.end())
    {
        return;
    }
    const job_state queued = it->second;
    s.jobs.erase(it);
    if (queued.waiting > 0)
    {
        s.kinds[queued.kind].waiting -= queued.waiting;
        s.waiting -= queued.waiting;
        s.jobs_of(queued.kind, queued.team).startable.erase(queued.key);
        s.update_share(queued.kind, queued.team);
    }
}

std::optional<job_number>
fair_queue::next(absl::FunctionRef<bool(const std::string& kind)> is_runnable,
                 absl::FunctionRef<absl::Duration(const std::string& kind)> estimated_cost)
{
    state& s = *state_;
    const auto picked =
        s.schedule.pick([&](share_schedule::id kind) { return is_runnable(s.kinds[kind].name); });
    if (!picked)
    {
        return std::nullopt;
    }
    kind_state& kind = s.kinds[*picked];
    const auto team = kind.schedule.pick();
    assert(team.has_value());
    team_jobs& jobs = kind.teams[*team];
    const job_key key = *jobs.startable.begin();
    job_state& job = s.jobs.at(key.number);

    const double cost = std::max(min_cost_s, absl::ToDoubleSeconds(estimated_cost(kind.name)));
    s.schedule.charge(*picked, cost);
    kind.schedule.charge(*team, cost);
    --job.waiting;
    --kind.waiting;
    --s.waiting;
    ++s.teams[*team].slots_in_use;
    const bool job_empty = job.waiting == 0;
    if (job_empty)
    {
        jobs.startable.erase(key);
    }
    if (s.teams[*team].at_limit())
    {
        s.update_team_shares(*team);
    }
    else if (job_empty)
    {
        s.update_share(*picked, *team);
    }
    return key.number;
}

void fair_queue::release_slot(const std::string& kind, const std::string& team,
                              absl::Duration estimated, absl::Duration observed)
{
    state& s = *state_;
    const auto kind_it = s.kind_index.find(kind);
    const auto team_it = s.team_index.find(team);
    if (kind_it == s.kind_index.end() || team_it == s.team_index.end())
    {
        return;
    }
    const double charged = std::max(min_cost_s, absl::ToDoubleSeconds(estimated));
    const double correction = std::max(0.0, absl::ToDoubleSeconds(observed)) - charged;
    s.schedule.charge(kind_it->second, correction);
    s.jobs_of(kind_it->second, team_it->second);
    s.kinds[kind_it->second].schedule.charge(team_it->second, correction);
    team_state& t = s.teams[team_it->second];
    const bool was_at_limit = t.at_limit();
    if (t.slots_in_use > 0)
    {
        --t.slots_in_use;
    }
    if (was_at_limit && !t.at_limit())
    {
        s.update_team_shares(team_it->second);
    }
}

std::size_t fair_queue::waiting_tasks() const
{
    return state_->waiting;
}

std::size_t fair_queue::waiting_tasks(const std::string& kind) const
{
    const auto it = state_->kind_index.find(kind);
    return it == state_->kind_index.end() ? 0 : state_->kinds[it->second].waiting;
}

double fair_queue::share_of(const std::string& kind, const std::string& team) const
{
    const state& s = *state_;
    constexpr auto unknown = static_cast<std::uint32_t>(-1);
    const auto kind_it = s.kind_index.find(kind);
    const auto team_it = s.team_index.find(team);
    const std::uint32_t kind_id = kind_it == s.kind_index.end() ? unknown : kind_it->second;
    const std::uint32_t team_id = team_it == s.team_index.end() ? unknown : team_it->second;
    const double kind_share = s.schedule.fraction(kind_id, 1);
    if (kind_id == unknown)
    {
        return kind_share;
    }
    const double weight = team_id == unknown ? 1 : s.teams[team_id].weight;
    return kind_share * s.kinds[kind_id].schedule.fraction(team_id, weight);
}

} // namespace savoryreach::entry
