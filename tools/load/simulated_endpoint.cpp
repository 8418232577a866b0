#include "tools/load/simulated_endpoint.hpp"

#include "tools/load/workload.hpp"

#include <utility>

namespace savoryreach::load
{
namespace
{

/// Time in which a failing endpoint answers; it attracts work because its slots are free at once.
constexpr absl::Duration failing_run = absl::Milliseconds(5);

} // namespace

simulated_endpoint::simulated_endpoint(const base::clock& clock, event_queue& events,
                                       endpoint_spec spec, start_handler on_start,
                                       end_handler on_end)
    : clock_(clock), events_(events), spec_(spec), on_start_(std::move(on_start)),
      on_end_(std::move(on_end))
{
}

void simulated_endpoint::run(const agent::run_request& request)
{
    using result = agent::run_outcome::result;
    on_start_(request);
    running_[request.run_id] = true;
    const auto now = clock_.now();
    if (spec_.failing)
    {
        end_at(now + failing_run, request.run_id, {result::failed, "", "simulated failure"});
        return;
    }
    end_at(now + absl::Seconds(work_of(request.payload) / spec_.speed), request.run_id,
           {result::succeeded, "done", ""});
}

void simulated_endpoint::stop(std::uint64_t run_id)
{
    if (running_.contains(run_id))
    {
        end_at(clock_.now(), run_id, {agent::run_outcome::result::failed, "", "stopped"});
    }
}

void simulated_endpoint::end_at(absl::Time when, std::uint64_t run_id, agent::run_outcome outcome)
{
    events_.at(when,
               [this, run_id, outcome = std::move(outcome)]
               {
                   // A run that was stopped has ended before its time.
                   if (running_.erase(run_id) > 0)
                   {
                       on_end_(run_id, outcome);
                   }
               });
}

} // namespace savoryreach::load
