#include "savoryreach/entry/job.hpp"

#include <algorithm>
#include <utility>

namespace savoryreach::entry
{

job::job(job_number assigned_number, schema::submission accepted, std::string submission_digest,
         absl::Time now)
    : number(assigned_number), submission(std::move(accepted)),
      digest(std::move(submission_digest)), accepted_at(now),
      answer_by(now + absl::Milliseconds(submission.time_budget_ms())),
      tasks(static_cast<std::size_t>(submission.tasks_size()))
{
}

bool job::has_started() const
{
    return std::ranges::any_of(tasks, &job_task::has_started);
}

bool job::is_start_known(const job_task& task) const
{
    return task.phase != task_phase::sent && task.phase != task_phase::unresolved;
}

std::uint32_t job::tasks_started() const
{
    const auto started = [this](const job_task& it)
    {
        return it.has_started || it.may_have_started || !is_start_known(it);
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(tasks, started));
}

base::not_run job::not_run() const
{
    if (has_started())
    {
        return base::not_run::no;
    }
    const bool is_known = (is_verified || is_claimed) && tasks_started() == 0;
    return is_known ? base::not_run::yes : base::not_run::unknown;
}

std::size_t job::count(task_phase wanted) const
{
    return static_cast<std::size_t>(std::ranges::count(tasks, wanted, &job_task::phase));
}

} // namespace savoryreach::entry
