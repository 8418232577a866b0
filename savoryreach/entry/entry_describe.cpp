#include "savoryreach/entry/entry_state.hpp"

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace savoryreach::entry
{
namespace
{

const char* name_of(link_phase phase)
{
    switch (phase)
    {
    case link_phase::live:
        return "live";
    case link_phase::suspected:
        return "suspected";
    case link_phase::lost:
        break;
    }
    return "lost";
}

const char* name_of(job_phase phase)
{
    switch (phase)
    {
    case job_phase::claiming:
        return "claiming";
    case job_phase::verifying:
        return "verifying";
    case job_phase::asking:
        return "asking";
    case job_phase::held:
        return "held";
    case job_phase::recovering:
        return "recovering";
    case job_phase::running:
        return "running";
    case job_phase::closing:
        return "closing";
    case job_phase::ended:
        break;
    }
    return "ended";
}

} // namespace

std::string entry_core::state::describe(const std::string& subject) const
{
    if (subject == "agents")
    {
        return describe_agents();
    }
    if (subject == "teams")
    {
        return describe_teams();
    }
    return subject == "jobs" ? describe_jobs() : std::string();
}

std::string entry_core::state::describe_agents() const
{
    std::string lines;
    agents.for_each(
        [&](const agent_link& it)
        {
            absl::StrAppend(
                &lines, "agent=", it.agent.name.value(), " incarnation=", it.agent.incarnation,
                " state=", name_of(it.phase), " draining=", it.is_draining ? "yes" : "no",
                " set_aside=", endpoints.is_set_aside(it.agent.name) ? "yes" : "no",
                " slots=", it.properties.slots, " credit=", it.credit(),
                " in_flight=", it.in_flight.size(), " config=", it.config_revision, "\n");
        });
    return lines;
}

std::string entry_core::state::describe_teams() const
{
    struct totals
    {
        std::size_t jobs = 0;
        std::size_t waiting = 0;
    };
    absl::btree_map<std::string, totals> teams;
    jobs.for_each(
        [&teams](const job& it)
        {
            if (!it.is_ended())
            {
                auto& team = teams[it.submission.team()];
                ++team.jobs;
                team.waiting += it.waiting;
            }
        });
    std::string lines;
    for (const auto& [team, it] : teams)
    {
        absl::StrAppend(&lines, "team=", team, " jobs=", it.jobs, " waiting=", it.waiting,
                        " slots=", queue.slots_of(team), "\n");
    }
    return lines;
}

std::string entry_core::state::describe_jobs() const
{
    std::string lines;
    jobs.for_each(
        [&lines](const job& it)
        {
            absl::StrAppend(&lines, "submission=", it.id(), " team=", it.submission.team(),
                            " kind=", it.submission.kind(), " state=", name_of(it.phase),
                            " tasks=", it.tasks.size(), " waiting=", it.waiting,
                            " succeeded=", it.succeeded, " waiters=", it.waiters.size(), "\n");
        });
    return lines;
}

} // namespace savoryreach::entry
