#include "savoryreach/entry/job_policy.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

constexpr std::size_t default_max_jobs = 100'000;
constexpr std::size_t default_max_waiting_tasks = 1'000'000;

std::size_t or_default(std::uint32_t value, std::size_t default_value)
{
    return value != 0 ? value : default_value;
}

} // namespace

job_policy::job_policy(const dispatcher::dependencies& deps, const router& routes)
    : deps_(deps), routes_(routes)
{
}

void job_policy::apply(const schema::declaration& declaration)
{
    if (declaration.has_kind_policy())
    {
        const auto& policy = declaration.kind_policy();
        deps_.queue.queue().apply(policy);
        demand_.set_kind_weight(policy.kind(), policy.weight());
        max_wait_[policy.kind()] = absl::Milliseconds(policy.max_wait_ms());
    }
    else if (declaration.has_team_quota())
    {
        const auto& quota = declaration.team_quota();
        deps_.queue.queue().apply(quota);
        demand_.set_team_weight(quota.team(), quota.weight());
        max_slots_[quota.team()] = quota.max_slots();
        deps_.queue.queue().set_team_slot_limit(quota.team(), team_slot_limit(quota.max_slots()));
    }
    else if (declaration.has_endpoint_policy())
    {
        deps_.endpoints.apply(declaration.endpoint_policy());
        deps_.retries.set_percent(declaration.endpoint_policy().retry_budget_percent());
    }
    else if (declaration.has_retention())
    {
        answer_retention_ = absl::Milliseconds(declaration.retention().answer_retention_ms());
    }
}

std::uint32_t job_policy::team_slot_limit(std::uint32_t max_slots) const
{
    if (max_slots == 0)
    {
        return 0;
    }
    const auto entries =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, routes_.members().size()));
    return std::max(1U, max_slots / entries);
}

void job_policy::view_changed()
{
    for (const auto& [team, max_slots] : max_slots_)
    {
        deps_.queue.queue().set_team_slot_limit(team, team_slot_limit(max_slots));
    }
}

admission_load job_policy::load_for(const schema::submission& submission) const
{
    const auto& kind = submission.kind();
    const auto& team = submission.team();
    const auto declared = submission.tasks_size() > 0 ? submission.tasks(0).declared_run_ms() : 0U;
    const auto limit = max_slots_.find(team);
    admission_load load;
    load.jobs = deps_.jobs.size();
    load.max_jobs = or_default(deps_.context.settings.max_jobs(), default_max_jobs);
    load.waiting_tasks = deps_.queue.waiting();
    load.max_waiting_tasks =
        or_default(deps_.context.settings.max_waiting_tasks(), default_max_waiting_tasks);
    load.usable_slots = deps_.endpoints.usable_slots(kind);
    load.live_entries =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, routes_.members().size()));
    // The queue assumes that each share with waiting tasks uses its whole fair share. The recent
    // demand assumes that the others use only what they requested recently.
    load.share = std::max(deps_.queue.queue().share_of(kind, team),
                          demand_.share_of(kind, team,
                                           static_cast<double>(load.usable_slots) /
                                               static_cast<double>(load.live_entries),
                                           deps_.context.now()));
    load.waiting_ahead = deps_.queue.waiting(kind, team);
    load.expected_run = deps_.endpoints.expected_run(kind, absl::Milliseconds(declared));
    load.can_ever_run = deps_.endpoints.can_ever_run(kind) || deps_.agents.accepts(kind);
    load.team_slots_in_use = deps_.queue.slots_of(team);
    load.team_slot_limit = limit != max_slots_.end() ? team_slot_limit(limit->second) : 0;
    load.has_spare_capacity = deps_.queue.waiting(kind) == 0;
    return load;
}

std::optional<refusal> job_policy::check(const schema::submission& submission)
{
    auto& random = deps_.context.ports.random;
    if (deps_.jobs.bytes() >= max_held_bytes)
    {
        return make_refusal(base::error_kind::queue_full, "the job table's memory is used up",
                            random);
    }
    const auto load = load_for(submission);
    demand_.add(submission.kind(), submission.team(),
                load.expected_run * static_cast<double>(submission.tasks_size()),
                deps_.context.now());
    if (!load.can_ever_run && deps_.agents.live_agents() == 0)
    {
        // Agents announce themselves every 500 ms. Without any agent it is unknown which kinds can
        // run.
        return make_refusal(base::error_kind::not_ready, "no endpoint is known", random);
    }
    admission_request request;
    request.tasks = static_cast<std::uint32_t>(submission.tasks_size());
    request.time_budget = absl::Milliseconds(submission.time_budget_ms());
    const auto max_wait = max_wait_.find(submission.kind());
    request.max_wait = max_wait != max_wait_.end() ? max_wait->second : absl::ZeroDuration();
    return check_admission(request, load, random);
}

std::optional<refusal> job_policy::check_start(const job& it) const
{
    auto load = load_for(it.submission);
    // No task of its share is ahead of it, and the other bounds were checked at its admission.
    load.waiting_ahead = 0;
    load.waiting_tasks = 0;
    load.jobs = 0;
    load.team_slots_in_use = 0;
    load.can_ever_run = true;
    admission_request request;
    request.tasks = static_cast<std::uint32_t>(it.tasks.size());
    request.time_budget = it.answer_by - deps_.context.now();
    return check_admission(request, load, deps_.context.ports.random);
}

} // namespace savoryreach::entry
