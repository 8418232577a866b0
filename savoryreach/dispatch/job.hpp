#ifndef SAVORYREACH_DISPATCH_JOB_HPP
#define SAVORYREACH_DISPATCH_JOB_HPP

#include "savoryreach/dispatch/endpoint_table.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// Identifies a request: the front process that sent it, and its number there.
struct request_ref
{
    std::string front;
    std::uint64_t number = 0;

    friend auto operator<=>(const request_ref&, const request_ref&) = default;
};

struct job_task
{
    enum class state
    {
        waiting,
        placed, ///< its start was ordered, or it runs, on `host`
        done,
    };

    state current_state = state::waiting;
    std::string host;
    std::uint32_t attempt = 0;        ///< number of the latest run
    std::uint32_t failures = 0;       ///< runs that ended failed
    std::vector<std::string> avoided; ///< hosts on which a run failed or hung
};

struct job_step
{
    schema::step_spec spec;
    resources demand;
    absl::Duration declared; ///< run time of each task, as declared by the caller
    std::vector<job_task> tasks;
    std::size_t unfinished = 0; ///< tasks that are not done
    std::size_t waiting = 0;    ///< released tasks that are not placed
    bool released = false;      ///< all steps that it depends on are done
};

/// An accepted job that has not ended.
struct job
{
    std::uint64_t id = 0;
    schema::queue_config queue;
    std::string payload;
    std::vector<job_step> steps;
    std::vector<request_ref> waiters; ///< requests that are answered when the job ends
    absl::Time arrived_at;
    absl::Time objective_at;            ///< time by which the job should have ended
    std::optional<absl::Time> order_at; ///< place in the order if its priority defers it
    bool plans_room = false;            ///< the dispatcher owns the room of its endpoints
    absl::Duration critical_path;       ///< longest chain of dependent expected run times
    double work = 0.0;                  ///< core-seconds, by the declared times
    bool started = false;               ///< the start of a task was ordered
    bool adopted = false;               ///< runs or ends of an earlier term were adopted
    bool may_have_run = false;          ///< an earlier dispatcher may have started its tasks
    absl::Time earliest_read_at;        ///< its front can't have read its request before
    bool deferred = false;              ///< could not meet its objective when it was accepted
    absl::Time answer_deadline;         ///< the caller has no use for a later answer
    bool had_success = false;
    std::vector<std::string> failed_hosts; ///< hosts on which its runs failed
    absl::Time first_start_at = absl::InfiniteFuture();

    /// Earlier jobs start first.
    [[nodiscard]] absl::Time order_time() const { return order_at.value_or(objective_at); }
    /// True if requests for the job have this host and path. They outlive its queue: a newer
    /// configuration may have removed it.
    [[nodiscard]] bool has_address(const std::string& host, const std::string& path) const;
};

} // namespace savoryreach::dispatch

#endif
