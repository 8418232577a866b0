#ifndef SAVORYREACH_ENTRY_JOB_WAITERS_HPP
#define SAVORYREACH_ENTRY_JOB_WAITERS_HPP

#include "savoryreach/entry/job_table.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace savoryreach::entry
{

/// Keeps the callers that wait for jobs and answers each of them once. Not thread-safe.
class job_waiters
{
public:
    /// Delivers an answer to a waiter, here or at another entry.
    using answer_handler = std::function<void(const job_waiter&, const schema::job_answer&)>;

    job_waiters(job_table& jobs, answer_handler answer);

    /// Answers at once when the job has ended or the waiter wants only the state of a claimed job.
    void add(job& it, const job_waiter& waiter);
    /// True when the request is among the waiters already.
    [[nodiscard]] static bool has(const job& it, const job_waiter& waiter);
    void answer(const job_waiter& waiter, const schema::job_answer& answer);
    void answer_all(job& it, const schema::job_answer& answer);
    /// Answers `running` to those that don't wait for the end.
    void answer_state_requests(job& it);
    /// Answers `running` to those whose deadline has passed.
    void answer_overdue(job& it, absl::Time now);
    /// Removes all waiters without an answer.
    [[nodiscard]] std::vector<job_waiter> take_all(job& it);
    /// A caller of this process is gone.
    void remove_caller(std::uint64_t request_id);

private:
    void answer_if(job& it, absl::FunctionRef<bool(const job_waiter&)> is_due);
    void forget(const job_waiter& waiter);

    job_table& jobs_;                                         ///< wake-up times
    answer_handler answer_;                                   ///< delivers answers
    absl::flat_hash_map<std::uint64_t, std::string> callers_; ///< request id to submission id
};

} // namespace savoryreach::entry

#endif
