#ifndef SAVORYREACH_LOAD_OUTCOME_HPP
#define SAVORYREACH_LOAD_OUTCOME_HPP

#include "savoryreach/base/error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace savoryreach::load
{

/// How one planned job ended; in the order of the plan.
struct job_outcome
{
    bool is_answered = false;
    bool is_complete = false;
    double response_s = 0;                           ///< from the intended arrival
    base::error_kind error = base::error_kind::none; ///< of a job that is not complete
    std::uint32_t tasks_started = 0;
};

/// Envelopes sent, by sort.
struct message_counts
{
    std::uint64_t session = 0;         ///< frames between entries and agents, both directions
    std::uint64_t hello = 0;           ///< agents' heartbeats and their replies
    std::uint64_t keeper_clients = 0;  ///< entries and agents with keepers, both directions
    std::uint64_t keeper_internal = 0; ///< among keepers
    std::uint64_t forward = 0;         ///< among entries

    [[nodiscard]] std::uint64_t total() const
    {
        return session + hello + keeper_clients + keeper_internal + forward;
    }
};

/// Mean time that jobs or tasks spent in one stage.
struct stage
{
    double sum_s = 0;
    std::uint64_t count = 0;
};

/// What one run gave.
struct run_result
{
    std::vector<job_outcome> jobs;
    message_counts messages;
    std::uint64_t starts = 0;        ///< runs that an endpoint began
    std::uint64_t started_tasks = 0; ///< distinct tasks among them
    std::uint64_t double_starts = 0; ///< starts of tasks that must run at most once, beyond one
    double work_started = 0;         ///< seconds at speed 1 of all starts, also of jobs that failed
    double processor_s = 0;
    std::map<std::string, stage> stages;                 ///< by name
    std::map<std::string, std::uint64_t> session_frames; ///< by the sorts of items in them
};

} // namespace savoryreach::load

#endif
