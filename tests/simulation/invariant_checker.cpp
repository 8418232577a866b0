#include "tests/simulation/invariant_checker.hpp"

#include "savoryreach/base/error.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace savoryreach::simulation
{
namespace
{

/// Starts of one idempotent task: 5 failures end a job, and each lost agent or owner adds one.
constexpr std::uint32_t max_idempotent_starts = 40;
constexpr absl::Duration drain_time = absl::Seconds(3);
/// An answer of an earlier owner may still be on its way for this time.
constexpr absl::Duration answer_travel = absl::Seconds(5);
/// An entry answers a forwarded request 20 ms before the limit, so that the answer is in time, and
/// sends the limit in whole milliseconds.
constexpr absl::Duration return_time = absl::Milliseconds(21);

/// True when the answer states the end of the job rather than the state of an entry.
bool is_settled(const schema::job_answer& answer)
{
    if (answer.state() == schema::job_state_complete)
    {
        return true;
    }
    switch (base::error_kind_from(answer.error_kind()))
    {
    case base::error_kind::task_failed:
    case base::error_kind::outcome_unknown:
    case base::error_kind::deadline_passed:
    case base::error_kind::cancelled:
        return answer.not_run() != schema::not_run_true;
    default:
        return false;
    }
}

std::string kind_of(const schema::job_answer& answer)
{
    if (answer.state() != schema::job_state_failed)
    {
        return answer.state() == schema::job_state_complete ? "complete" : "running";
    }
    const auto& row = base::traits_of(base::error_kind_from(answer.error_kind()));
    const char* claim = answer.not_run() == schema::not_run_true    ? "/not_run"
                        : answer.not_run() == schema::not_run_false ? "/ran"
                                                                    : "/unknown";
    return absl::StrCat(std::string(row.name), claim);
}

} // namespace

void invariant_checker::knows(const schema::submission& submission, std::uint32_t variant)
{
    auto& content = contents_[{submission.submission_id(), variant}];
    content.submission = submission;
    content.tasks.resize(static_cast<std::size_t>(submission.tasks_size()));
}

void invariant_checker::asked(const caller_request& request)
{
    open_[request.id] = request;
    journal_.note(absl::StrCat(
        "caller asks request=", request.id, " kind=", static_cast<int>(request.kind),
        " submission=", request.submission_id, "/", request.variant, " at=", request.entry));
    if (request.kind == ask::submit)
    {
        ++contents_.at({request.submission_id, request.variant}).open_copies;
    }
}

void invariant_checker::close(const caller_request& request)
{
    if (request.kind == ask::submit)
    {
        auto& content = contents_.at({request.submission_id, request.variant});
        --content.open_copies;
        content.last_open = clock_.now();
    }
}

void invariant_checker::withdrawn(std::uint64_t request_id)
{
    const auto it = open_.find(request_id);
    if (it != open_.end())
    {
        journal_.note(absl::StrCat("caller withdraws request=", request_id));
        close(it->second);
        open_.erase(it);
    }
}

void invariant_checker::answered(std::uint64_t request_id, const schema::job_answer& answer)
{
    const auto kind = kind_of(answer);
    journal_.note(absl::StrCat("answer request=", request_id,
                               " submission=", answer.submission_id(), " kind=", kind,
                               " retry_ms=", answer.retry_after_ms(), " ", answer.reason()));
    if (!answered_.insert(request_id).second)
    {
        journal_.fail("one_answer", absl::StrCat("request ", request_id, " is answered twice"));
    }
    const auto it = open_.find(request_id);
    if (it == open_.end())
    {
        return;
    }
    const auto request = it->second;
    open_.erase(it);
    close(request);
    ++answers_[kind];
    if (answer.submission_id() != request.submission_id)
    {
        journal_.fail("own_answer", absl::StrCat("request for ", request.submission_id,
                                                 " gets the answer of ", answer.submission_id()));
    }
    // A lookup or cancel names only the id, so its answer concerns whichever content ran.
    const auto ran = running_variant_.find(request.submission_id);
    const auto variant = request.kind == ask::submit || ran == running_variant_.end()
                             ? request.variant
                             : ran->second;
    auto& content = contents_.at({request.submission_id, variant});
    switch (answer.state())
    {
    case schema::job_state_complete:
        check_complete(content, answer);
        break;
    case schema::job_state_failed:
        check_failed(content, answer);
        break;
    case schema::job_state_running:
        check_running(request, content);
        break;
    default:
        journal_.fail("answer_state", "an answer without a state");
    }
    check_agreement(content, answer);
}

void invariant_checker::check_running(const caller_request& request,
                                      const content_record& content) const
{
    if (request.kind == ask::submit && request.wait &&
        clock_.now() < request.answer_by - return_time)
    {
        journal_.fail("answer_state", absl::StrCat(content.submission.submission_id(),
                                                   " is `running` for a caller that waits"));
    }
}

void invariant_checker::check_complete(const content_record& content,
                                       const schema::job_answer& answer) const
{
    const auto& id = content.submission.submission_id();
    if (answer.outputs_size() != content.submission.tasks_size())
    {
        journal_.fail("complete_answer",
                      absl::StrCat(id, " has ", answer.outputs_size(), " outputs for ",
                                   content.submission.tasks_size(), " tasks"));
    }
    for (int n = 0; n < answer.outputs_size(); ++n)
    {
        const auto& payload = content.submission.tasks(n).payload();
        if (answer.outputs(n) != output_of(payload))
        {
            journal_.fail("complete_answer", absl::StrCat(id, " task ", n, " has the output ",
                                                          answer.outputs(n), " for ", payload));
        }
        if (!content.tasks[static_cast<std::size_t>(n)].has_succeeded)
        {
            journal_.fail("complete_answer", absl::StrCat(id, " task ", n, " never succeeded"));
        }
    }
}

void invariant_checker::check_failed(content_record& content, const schema::job_answer& answer)
{
    const auto& id = content.submission.submission_id();
    if (answer.error_kind() == 0 || answer.outputs_size() != 0)
    {
        journal_.fail("failed_answer", absl::StrCat(id, " failed without kind or with outputs"));
    }
    if (answer.not_run() != schema::not_run_true)
    {
        return;
    }
    for (std::size_t n = 0; n < content.tasks.size(); ++n)
    {
        if (content.tasks[n].starts > 0)
        {
            journal_.fail("not_run", absl::StrCat(id, " is answered not_run, and its task ", n,
                                                  " has started"));
        }
    }
    content.not_run_until =
        std::max(content.not_run_until, clock_.now() + absl::Milliseconds(answer.retry_after_ms()));
}

void invariant_checker::check_agreement(content_record& content, const schema::job_answer& answer)
{
    if (!is_settled(answer))
    {
        return;
    }
    if (!content.settled)
    {
        content.settled = settled_answer{answer, clock_.now()};
        return;
    }
    const auto& known = *content.settled;
    const bool is_equal = known.answer.state() == answer.state() &&
                          known.answer.error_kind() == answer.error_kind() &&
                          std::ranges::equal(known.answer.outputs(), answer.outputs());
    if (!is_equal && last_epoch_end_ + answer_travel < known.at)
    {
        journal_.fail("equal_answers",
                      absl::StrCat(answer.submission_id(), " was answered ", kind_of(known.answer),
                                   " and is now answered ", kind_of(answer)));
    }
    if (!is_equal)
    {
        content.settled = settled_answer{answer, clock_.now()};
    }
}

void invariant_checker::run_started(const std::string& agent, const std::string& payload)
{
    ++starts_;
    journal_.note(absl::StrCat("start ", payload, " at=", agent));
    const auto key = task_content::of(payload);
    auto& content = contents_.at({key.id, key.variant});
    auto& task = content.tasks.at(key.task);
    const auto [ran, fresh] = running_variant_.emplace(key.id, key.variant);
    if (ran->second != key.variant)
    {
        journal_.fail("one_content", absl::StrCat("two contents of ", key.id, " run"));
    }
    if (task.is_running)
    {
        journal_.fail("one_attempt", absl::StrCat(payload, " runs twice at the same time"));
    }
    ++task.starts;
    task.is_running = true;
    if (!content.submission.idempotent() && task.starts > 1)
    {
        journal_.fail("at_most_once", absl::StrCat(payload, " starts twice"));
    }
    if (task.starts > max_idempotent_starts)
    {
        journal_.fail("bounded_starts", absl::StrCat(payload, " starts without end"));
    }
    check_refusals_kept(content, key);
    const auto drain = draining_.find(agent);
    if (drain != draining_.end() && clock_.now() > drain->second + drain_time)
    {
        journal_.fail("drain", absl::StrCat(payload, " starts at the draining ", agent));
    }
}

void invariant_checker::check_refusals_kept(const content_record& content,
                                            const task_content& key) const
{
    // A copy that is open after the retry time asks for the job again.
    const auto last_open = content.open_copies > 0 ? clock_.now() : content.last_open;
    if (last_open < content.not_run_until)
    {
        journal_.fail("not_run", absl::StrCat(key.payload(), " starts, its caller was told not_run",
                                              " and has sent no copy after the retry time"));
    }
}

void invariant_checker::run_ended(const std::string& payload, bool has_succeeded)
{
    const auto key = task_content::of(payload);
    auto& task = contents_.at({key.id, key.variant}).tasks.at(key.task);
    journal_.note(absl::StrCat("end ", payload, has_succeeded ? " succeeded" : " failed"));
    task.is_running = false;
    task.has_succeeded = task.has_succeeded || has_succeeded;
}

void invariant_checker::drain_began(const std::string& agent)
{
    draining_.emplace(agent, clock_.now());
}

void invariant_checker::drain_over(const std::string& agent)
{
    draining_.erase(agent);
}

} // namespace savoryreach::simulation
