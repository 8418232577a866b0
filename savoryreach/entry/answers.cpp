#include "savoryreach/entry/answers.hpp"

#include <cassert>

namespace savoryreach::entry
{
namespace
{

constexpr std::uint32_t answer_version = 1;

schema::job_answer make_answer(const std::string& submission_id, schema::job_state state)
{
    schema::job_answer answer;
    answer.set_schema_version(answer_version);
    answer.set_submission_id(submission_id);
    answer.set_state(state);
    return answer;
}

std::uint64_t response_us(const job& it, absl::Time now)
{
    return static_cast<std::uint64_t>(absl::ToInt64Microseconds(now - it.accepted_at));
}

} // namespace

schema::not_run_claim to_schema(base::not_run not_run)
{
    switch (not_run)
    {
    case base::not_run::yes:
        return schema::not_run_true;
    case base::not_run::no:
        return schema::not_run_false;
    case base::not_run::unknown:
        break;
    }
    return schema::not_run_unknown;
}

schema::job_answer running_answer(const std::string& submission_id)
{
    return make_answer(submission_id, schema::job_state_running);
}

schema::job_answer error_answer(const std::string& submission_id, const base::reason& why,
                                base::not_run not_run, absl::Duration retry_after)
{
    auto answer = make_answer(submission_id, schema::job_state_failed);
    answer.set_error_kind(static_cast<std::uint32_t>(why.kind));
    answer.set_reason(why.text);
    answer.set_not_run(to_schema(not_run));
    set_retry_after(answer, retry_after);
    return answer;
}

schema::job_answer conflict_answer(const std::string& submission_id)
{
    const auto kind = base::error_kind::content_conflict;
    return error_answer(submission_id, {kind, "the submission id was used with other content"},
                        base::traits_of(kind).claim);
}

schema::job_answer complete_answer(const job& it, absl::Time now)
{
    auto answer = make_answer(it.id(), schema::job_state_complete);
    for (const auto& task : it.tasks)
    {
        assert(task.phase == task_phase::succeeded);
        answer.add_outputs(task.output);
    }
    answer.set_not_run(schema::not_run_false);
    answer.set_tasks_started(static_cast<std::uint32_t>(it.tasks.size()));
    answer.set_response_us(response_us(it, now));
    return answer;
}

schema::job_answer failed_answer(const job& it, const base::reason& why, absl::Time now)
{
    auto answer = error_answer(it.id(), why, it.not_run());
    answer.set_tasks_started(it.tasks_started());
    answer.set_response_us(response_us(it, now));
    return answer;
}

void set_retry_after(schema::job_answer& answer, absl::Duration retry_after)
{
    answer.set_retry_after_ms(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(absl::Ceil(retry_after, absl::Milliseconds(1)))));
}

} // namespace savoryreach::entry
