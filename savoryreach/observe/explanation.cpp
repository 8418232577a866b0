#include "savoryreach/observe/explanation.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>

namespace savoryreach::observe
{
namespace
{

/// Events of one attempt of one task.
struct attempt_events
{
    std::optional<event_line> sent;
    std::optional<event_line> started;
    std::optional<event_line> ended;
    std::optional<event_line> received;
};

/// Events of one submission.
struct job_events
{
    std::optional<event_line> accepted;
    std::optional<event_line> granted;
    std::optional<event_line> answered;
    std::optional<event_line> last_received;
    std::map<std::string, std::map<std::uint64_t, attempt_events>> tasks;
};

job_events collect(const std::vector<event_line>& events)
{
    job_events job;
    for (const event_line& it : events)
    {
        std::uint64_t attempt = 0;
        (void)absl::SimpleAtoi(std::string(it.field("attempt")), &attempt);
        const std::string task(it.field("task"));
        if (it.kind == "job_accepted" && !job.accepted)
        {
            job.accepted = it;
        }
        else if (it.kind == "claim_granted" && !job.granted)
        {
            job.granted = it;
        }
        else if (it.kind == "job_answered")
        {
            job.answered = it;
        }
        else if (it.kind == "task_sent")
        {
            job.tasks[task][attempt].sent = it;
        }
        else if (it.kind == "task_started")
        {
            job.tasks[task][attempt].started = it;
        }
        else if (it.kind == "task_ended")
        {
            job.tasks[task][attempt].ended = it;
        }
        else if (it.kind == "result_received")
        {
            job.tasks[task][attempt].received = it;
            job.last_received = it;
        }
    }
    return job;
}

/// Time from \p from to \p to; the wall clock may step back, which counts as zero.
absl::Duration between(absl::Time from, absl::Time to)
{
    return std::max(to - from, absl::ZeroDuration());
}

/// Adds the parts of one attempt; \p cursor is the end of the part before and moves to the result.
void add_attempt(explanation& out, const attempt_events& it, std::uint64_t number,
                 absl::Time& cursor)
{
    const auto note = [&](const char* kind, bool is_there)
    {
        if (!is_there)
        {
            out.missing.push_back(absl::StrCat(kind, " of attempt ", number));
        }
    };
    note("task_sent", it.sent.has_value());
    note("task_started", it.started.has_value());
    note("task_ended", it.ended.has_value());
    note("result_received", it.received.has_value());
    ++out.attempts;
    if (!it.sent)
    {
        return;
    }
    out.waiting_at_entry += between(cursor, it.sent->wall);
    cursor = std::max(cursor, it.sent->wall);
    if (!it.received)
    {
        return;
    }
    const absl::Duration round_trip = between(cursor, it.received->wall);
    cursor += round_trip;
    if (!it.started || !it.ended)
    {
        out.waiting_at_agent += round_trip;
        return;
    }
    const absl::Duration run = std::min(between(it.started->wall, it.ended->wall), round_trip);
    const absl::Duration rest = round_trip - run;
    const absl::Duration at_agent = std::min(between(it.sent->wall, it.started->wall), rest);
    out.run += run;
    out.waiting_at_agent += at_agent;
    out.returning += rest - at_agent;
}

} // namespace

std::optional<explanation> explain(const timeline& events, const std::string& submission)
{
    timeline::filter wanted;
    wanted.submission = submission;
    const job_events job = collect(events.select(wanted));
    if (submission.empty() || !job.accepted || !job.answered)
    {
        return std::nullopt;
    }
    explanation out;
    out.submission = submission;
    absl::Time cursor = job.accepted->wall;
    if (job.granted)
    {
        out.claim = between(cursor, job.granted->wall);
        cursor += out.claim;
    }
    else
    {
        out.missing.emplace_back("claim_granted");
    }
    if (job.last_received)
    {
        out.task = job.last_received->field("task");
        for (const auto& [number, attempt] : job.tasks.at(out.task))
        {
            add_attempt(out, attempt, number, cursor);
        }
    }
    else
    {
        out.missing.emplace_back("result_received");
    }
    out.answer = between(cursor, job.answered->wall);
    out.total = (cursor - job.accepted->wall) + out.answer;
    return out;
}

std::string explanation::to_text() const
{
    const auto line = [this](const char* name, absl::Duration part)
    {
        const double share = total > absl::ZeroDuration() ? absl::FDivDuration(part, total) : 0;
        return absl::StrFormat("%-18s %12.3f ms %5.1f %%\n", name, absl::ToDoubleMilliseconds(part),
                               100 * share);
    };
    std::string out = absl::StrCat("submission ", submission, ", last task ", task, ", attempts ",
                                   attempts, "\n");
    absl::StrAppend(&out, line("claim", claim), line("waiting at entry", waiting_at_entry),
                    line("waiting at agent", waiting_at_agent), line("run", run),
                    line("return", returning));
    absl::StrAppend(&out, line("answer", answer), line("total", total));
    for (const std::string& it : missing)
    {
        absl::StrAppend(&out, "missing event: ", it, "\n");
    }
    return out;
}

} // namespace savoryreach::observe
