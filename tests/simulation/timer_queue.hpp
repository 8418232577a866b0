#ifndef SAVORYREACH_SIMULATION_TIMER_QUEUE_HPP
#define SAVORYREACH_SIMULATION_TIMER_QUEUE_HPP

#include "tests/simulation/virtual_clock.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <utility>

namespace savoryreach::simulation
{

/// Actions on virtual time; equal times run in the order of their scheduling.
class timer_queue
{
public:
    using action = std::function<void()>;

    explicit timer_queue(const virtual_clock& clock) : clock_(clock) {}

    void after(absl::Duration delay, action what)
    {
        queue_.emplace(std::pair(clock_.now() + delay, ++sequence_), std::move(what));
    }

    [[nodiscard]] absl::Time next() const
    {
        return queue_.empty() ? absl::InfiniteFuture() : queue_.begin()->first.first;
    }

    void run_due()
    {
        while (next() <= clock_.now())
        {
            const auto what = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            what();
        }
    }

private:
    const virtual_clock& clock_;
    std::uint64_t sequence_ = 0;
    absl::btree_map<std::pair<absl::Time, std::uint64_t>, action> queue_;
};

} // namespace savoryreach::simulation

#endif
