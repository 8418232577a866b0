#ifndef SAVORYREACH_DISPATCH_PLACEMENT_HPP
#define SAVORYREACH_DISPATCH_PLACEMENT_HPP

#include "savoryreach/dispatch/dispatcher_options.hpp"
#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/job.hpp"
#include "savoryreach/dispatch/placement_index.hpp"
#include "savoryreach/dispatch/reservation_plan.hpp"
#include "savoryreach/dispatch/speed_model.hpp"

#include <absl/time/time.h>

namespace savoryreach::dispatch
{

/// Result of choose_endpoint(). `target` is null when the task has to wait; `no_capacity` is then
/// true if no usable endpoint has enough free capacity, and false if the task waits for a faster
/// endpoint.
struct placement
{
    endpoint* target = nullptr;
    bool no_capacity = false;
};

/// True when the endpoint may run the task, regardless of its current load.
[[nodiscard]] bool is_eligible(const endpoint& it, const job& owner, const job_step& step,
                               const job_task& task);

/// Chooses the endpoint for one task in a fleet of uneven speed: the endpoint on which the task is
/// expected to end first. A task that would miss its objective there, but can still meet it on a
/// faster endpoint that is busy, waits for that one. Leaves the
/// reservations of tasks other than \p id intact.
[[nodiscard]] placement choose_endpoint(const placement_index& index, const speed_model& speeds,
                                        const job& owner, const job_step& step,
                                        const job_task& task, std::uint32_t step_number,
                                        absl::Time now, const dispatcher_options& options,
                                        const reservation_plan* reservations = nullptr,
                                        const task_id& id = {});

} // namespace savoryreach::dispatch

#endif
