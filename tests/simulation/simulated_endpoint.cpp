#include "tests/simulation/simulated_endpoint.hpp"

#include <utility>

namespace savoryreach::simulation
{
namespace
{

constexpr double failure_rate = 0.02;
constexpr double broken_connection_rate = 0.005;
constexpr double long_run_rate = 0.02;
constexpr absl::Duration max_long_run = absl::Seconds(6);
/// From the closing of a connection until the service has stopped the run.
constexpr absl::Duration max_stop_time = absl::Milliseconds(100);

} // namespace

void simulated_endpoint::run(const agent::run_request& request)
{
    context_.checker.run_started(agent_, request.payload);
    auto& it = runs_[request.run_id];
    it.payload = request.payload;
    if (context_.broken == breakage::double_start)
    {
        it.repeats = 1;
    }
    else if (context_.broken == breakage::endless_starts)
    {
        it.repeats = 100;
    }
    auto delay = mean_run_ * (0.5 + context_.random.unit());
    if (context_.random.unit() < long_run_rate)
    {
        delay += max_long_run * context_.random.unit();
    }
    schedule_end(request.run_id, delay);
}

void simulated_endpoint::schedule_end(std::uint64_t run_id, absl::Duration delay)
{
    context_.timers.after(delay,
                          [this, run_id]
                          {
                              const auto it = runs_.find(run_id);
                              if (it == runs_.end())
                              {
                                  return;
                              }
                              if (it->second.repeats > 0)
                              {
                                  --it->second.repeats;
                                  context_.checker.run_ended(it->second.payload, true);
                                  context_.checker.run_started(agent_, it->second.payload);
                                  schedule_end(run_id, absl::Milliseconds(1));
                                  return;
                              }
                              end(run_id, draw_outcome(it->second.payload));
                          });
}

agent::run_outcome simulated_endpoint::draw_outcome(const std::string& payload)
{
    using enum agent::run_outcome::result;
    if (is_failing_ || context_.random.unit() < failure_rate)
    {
        return {failed, "", "the service failed"};
    }
    if (context_.random.unit() < broken_connection_rate)
    {
        return {unknown, "", "the connection broke"};
    }
    return {succeeded, output_of(payload), ""};
}

void simulated_endpoint::end(std::uint64_t run_id, const agent::run_outcome& outcome)
{
    const auto it = runs_.find(run_id);
    if (it == runs_.end())
    {
        return;
    }
    const auto payload = std::move(it->second.payload);
    runs_.erase(it);
    context_.checker.run_ended(payload, outcome.kind == agent::run_outcome::result::succeeded);
    handler_(run_id, outcome);
}

void simulated_endpoint::stop(std::uint64_t run_id)
{
    const agent::run_outcome stopped{agent::run_outcome::result::unknown, "", "stopped"};
    const auto it = runs_.find(run_id);
    if (context_.broken == breakage::overlapping_stop && it != runs_.end())
    {
        // The agent believes that the run has ended, and the service goes on.
        runs_.erase(it);
        context_.timers.after(absl::ZeroDuration(),
                              [this, run_id, stopped] { handler_(run_id, stopped); });
        return;
    }
    context_.timers.after(max_stop_time * context_.random.unit(),
                          [this, run_id, stopped] { end(run_id, stopped); });
}

void simulated_endpoint::close()
{
    handler_ = [](std::uint64_t, const agent::run_outcome&) {
    };
    for (const auto& [run_id, it] : std::exchange(runs_, {}))
    {
        context_.checker.run_ended(it.payload, false);
    }
}

} // namespace savoryreach::simulation
