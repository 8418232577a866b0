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

/// The callers that wait for jobs. Each of them is answered once. Not thread-safe.
class job_waiters
{
public:
    /// Delivers an answer to a waiter of this process or at another entry.
    using answer_handler = std::function<void(const job_waiter&, const schema::job_answer&)>;

    job_waiters(job_table& jobs, answer_handler answer);

    /// Adds a waiter. It is answered at once when the job has ended, or when the job is claimed and
    /// the waiter wants only its state.
    void add(job& it, const job_waiter& waiter);
    /// True when the request is already among the waiters.
    [[nodiscard]] static bool has(const job& it, const job_waiter& waiter);
    void answer(const job_waiter& waiter, const schema::job_answer& answer);
    void answer_all(job& it, const schema::job_answer& answer);
    /// Answers `running` to the waiters that want only the state.
    void answer_state_requests(job& it);
    /// Answers `running` to the waiters whose deadline has passed.
    void answer_overdue(job& it, absl::Time now);
    /// Removes and returns all waiters without answering them.
    [[nodiscard]] std::vector<job_waiter> take_all(job& it);
    /// Removes a caller of this process that has disconnected.
    void remove_caller(std::uint64_t request_id);

private:
    void answer_if(job& it, absl::FunctionRef<bool(const job_waiter&)> is_due);
    void forget_caller(const job_waiter& waiter);

    job_table& jobs_;       ///< for the timers of the waiters' deadlines
    answer_handler answer_; ///< delivers answers
    absl::flat_hash_map<std::uint64_t, std::string> callers_; ///< request id to submission id
};

} // namespace savoryreach::entry

#endif
