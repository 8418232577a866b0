#ifndef SAVORYREACH_DISPATCH_JOB_HPP
#define SAVORYREACH_DISPATCH_JOB_HPP

#include "savoryreach/dispatch/endpoint_table.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// A front process that waits for an answer, and the number of its request.
struct waiter
{
    std::string front;
    std::uint64_t number = 0;

    friend auto operator<=>(const waiter&, const waiter&) = default;
};

struct task
{
    enum class state
    {
        waiting,
        out, ///< ordered or running on `host`
        done,
    };

    state now = state::waiting;
    std::string host;
    std::uint32_t attempt = 0;        ///< of the latest run
    std::uint32_t failures = 0;       ///< runs that ended failed
    std::vector<std::string> avoided; ///< hosts on which runs failed or were given up
};

struct step
{
    schema::step_spec spec;
    room takes;
    absl::Duration declared; ///< run time of each task by the job's owner
    std::vector<task> tasks;
    std::size_t open = 0;    ///< tasks that have not ended done
    std::size_t waiting = 0; ///< tasks that wait for a place
    bool released = false;   ///< the earlier steps are done
};

/// A job that has been accepted and has not ended.
struct job
{
    std::uint64_t id = 0;
    schema::queue_config queue;
    std::string payload;
    std::vector<step> steps;
    std::vector<waiter> waiters;
    absl::Time arrived_at;
    absl::Time objective_at;   ///< until then it should have ended
    absl::Duration chain;      ///< longest chain of expected run times
    double work = 0.0;         ///< core-seconds by the declared times
    bool started = false;      ///< a start was ordered
    bool adopted = false;      ///< runs or ends of an earlier term were taken over
    bool may_have_run = false; ///< an earlier dispatcher may have started tasks of it
    absl::Time useful_until;   ///< an answer after this time is worth nothing to the caller
    bool had_success = false;
    std::vector<std::string> failed_hosts; ///< where runs of it failed
    absl::Time first_start_at = absl::InfiniteFuture();
};

} // namespace savoryreach::dispatch

#endif
