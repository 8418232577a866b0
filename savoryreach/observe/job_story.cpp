#include "savoryreach/observe/job_story.hpp"

#include "savoryreach/observe/hybrid_clock.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace savoryreach::observe
{
namespace
{

/// Lines about hosts this long before and after a job's own are taken for its circumstances: a lost
/// link is noticed after 1.2 s, a host is given up after 1.75 s.
constexpr absl::Duration surroundings = absl::Seconds(3);

std::string text_of(const event_line& it, std::string_view key)
{
    return std::string(it.field(key));
}

absl::Duration ms_of(const event_line& it, std::string_view key)
{
    std::int64_t ms = 0;
    return absl::SimpleAtoi(text_of(it, key), &ms) ? absl::Milliseconds(ms) : absl::ZeroDuration();
}

/// What the logs of all processes say around a job's own lines.
class circumstances
{
public:
    circumstances(const timeline& events, absl::Time from, absl::Time to)
    {
        timeline::filter wanted;
        wanted.from = from - surroundings;
        wanted.to = to + surroundings;
        lines_ = events.select(wanted);
    }

    [[nodiscard]] const std::vector<event_line>& lines() const { return lines_; }

    /// The last line of \p kind up to \p hlc by \p process; any process if empty.
    [[nodiscard]] const event_line* last(std::string_view kind, std::uint64_t hlc,
                                         const std::string& process = {}) const
    {
        const event_line* out = nullptr;
        for (const auto& it : lines_)
        {
            if (it.kind == kind && it.hlc <= hlc && (process.empty() || it.process == process))
            {
                out = &it;
            }
        }
        return out;
    }

    /// Kinds of lines about the host \p peer, without repetition.
    [[nodiscard]] std::string about(const std::string& peer) const
    {
        constexpr std::string_view kinds[] = {"agent_lost", "host_gone", "endpoint_found",
                                              "endpoint_silent", "endpoint_left"};
        std::string out;
        for (const auto kind : kinds)
        {
            const bool seen = std::ranges::any_of(
                lines_, [&](const event_line& it)
                { return it.kind == kind && (it.field("peer") == peer || it.process == peer); });
            if (seen)
            {
                absl::StrAppend(&out, out.empty() ? "" : ", ", std::string(kind));
            }
        }
        return out;
    }

private:
    std::vector<event_line> lines_;
};

std::string load_at(const circumstances& around, const event_line& decision)
{
    const auto* load = around.last("dispatcher_load", decision.hlc, decision.process);
    if (load == nullptr)
    {
        return {};
    }
    return absl::StrCat("; load then: ", text_of(*load, "waiting_core_s"),
                        " core-seconds waited for ", text_of(*load, "rate"), " cores on ",
                        text_of(*load, "usable"), " of ", text_of(*load, "endpoints"),
                        " endpoints");
}

void add_refusal(job_story& out, const circumstances& around, const event_line& it)
{
    out.causes.push_back(absl::StrCat("refused, not run: ", text_of(it, "reason"),
                                      ", return after ", text_of(it, "retry_ms"), " ms",
                                      load_at(around, it)));
}

void add_lost_run(job_story& out, const circumstances& around, const event_line& it)
{
    const auto host = text_of(it, "peer");
    const auto seen = around.about(host);
    out.causes.push_back(absl::StrCat(
        "task ", text_of(it, "task"), " attempt ", text_of(it, "attempt"), " on ", host,
        it.kind == "run_failed" ? " failed" : " was lost: ", text_of(it, "reason"),
        seen.empty() ? "" : absl::StrCat(" (", seen, ")")));
}

/// A dispatcher that began while the job was under way.
void add_change(job_story& out, const circumstances& around, std::uint64_t from, std::uint64_t to)
{
    for (const auto& it : around.lines())
    {
        if (it.kind == "dispatcher_started" && it.hlc > from && it.hlc < to)
        {
            out.causes.push_back(absl::StrCat("the dispatcher changed to ", it.process, ", term ",
                                              text_of(it, "term")));
        }
    }
}

std::uint64_t stamp_before(const event_line& it, absl::Duration before)
{
    return hybrid_clock::first_at(hybrid_clock::time_of(it.hlc) - before);
}

void add_end(job_story& out, const circumstances& around, const event_line& end)
{
    out.outcome = text_of(end, "outcome");
    out.total = ms_of(end, "ms");
    out.waited = ms_of(end, "wait_ms");
    add_change(out, around, stamp_before(end, out.total), end.hlc);
    if (const auto reason = text_of(end, "reason"); !reason.empty())
    {
        out.causes.push_back(reason);
    }
    if (out.outcome != "answer_completed")
    {
        return;
    }
    const bool late = end.field("late") == "1";
    if (late && out.waited > out.total / 2)
    {
        out.causes.push_back(absl::StrCat("late: it waited for a place", load_at(around, end)));
    }
    else if (late && out.causes.empty())
    {
        out.causes.emplace_back("late: its runs took longer than expected");
    }
    else if (!late)
    {
        out.causes.emplace_back("completed within its objective");
    }
}

/// Divides the time between the first start and the end.
void split_time(job_story& out)
{
    const event_line* first = nullptr;
    const event_line* last = nullptr;
    const event_line* end = nullptr;
    for (const auto& it : out.lines)
    {
        if (it.kind == "tasks_placed")
        {
            first = first == nullptr ? &it : first;
            last = &it;
        }
        end = it.kind == "job_ended" ? &it : end;
    }
    if (first == nullptr || end == nullptr)
    {
        return;
    }
    out.repeated = std::max(ms_of(*last, "age_ms") - ms_of(*first, "age_ms"), absl::ZeroDuration());
    out.last_run = std::max(out.total - ms_of(*last, "age_ms"), absl::ZeroDuration());
}

} // namespace

std::optional<job_story> tell_job(const timeline& events, const std::string& submission)
{
    timeline::filter wanted;
    wanted.submission = submission;
    job_story out;
    out.submission = submission;
    out.lines = events.select(wanted);
    if (submission.empty() || out.lines.empty())
    {
        return std::nullopt;
    }
    const circumstances around(events, hybrid_clock::time_of(out.lines.front().hlc),
                               hybrid_clock::time_of(out.lines.back().hlc));
    out.has_gaps = around.last("lines_left_out", UINT64_MAX) != nullptr;
    for (const auto& it : out.lines)
    {
        if (it.kind == "job_refused")
        {
            out.outcome = "refused";
            add_refusal(out, around, it);
        }
        else if (it.kind == "run_over" || it.kind == "run_failed")
        {
            add_lost_run(out, around, it);
        }
        else if (it.kind == "request_unanswered")
        {
            out.outcome = "unknown";
            out.total = ms_of(it, "ms");
            add_change(out, around, stamp_before(it, out.total), it.hlc);
            out.causes.emplace_back("no dispatcher answered before the client's deadline");
        }
        else if (it.kind == "job_ended")
        {
            add_end(out, around, it);
        }
    }
    split_time(out);
    return out;
}

std::string job_story::to_text() const
{
    std::string out = absl::StrCat("submission ", submission, ": ",
                                   outcome.empty() ? "no end was logged" : outcome, "\n");
    for (const auto& it : causes)
    {
        absl::StrAppend(&out, "cause: ", it, "\n");
    }
    if (total > absl::ZeroDuration())
    {
        const auto part = [&out](const char* name, absl::Duration it)
        {
            absl::StrAppendFormat(&out, "%-22s %8.0f ms\n", name, absl::ToDoubleMilliseconds(it));
        };
        part("waited for a place", waited);
        part("until the last start", repeated);
        part("last run and answer", last_run);
        part("total", total);
    }
    if (has_gaps)
    {
        out += "some lines of that time were left out by the bound on their number\n";
    }
    for (const auto& it : lines)
    {
        absl::StrAppend(&out, it.to_text(), "\n");
    }
    return out;
}

} // namespace savoryreach::observe
