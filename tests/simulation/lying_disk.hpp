#ifndef SAVORYREACH_SIMULATION_LYING_DISK_HPP
#define SAVORYREACH_SIMULATION_LYING_DISK_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/keeper/log_storage.hpp"

#include <utility>
#include <vector>

namespace savoryreach::simulation
{

/// Passes writes on to a storage and remembers the last ticket, so that the harness can acknowledge
/// a write that is not durable.
class lying_disk final : public keeper::log_storage
{
public:
    explicit lying_disk(keeper::log_storage& disk) : disk_(disk) {}

    std::uint64_t append(std::vector<schema::log_entry> entries) override
    {
        return last_ = disk_.append(std::move(entries));
    }
    std::uint64_t truncate_from(std::uint64_t index) override
    {
        return last_ = disk_.truncate_from(index);
    }
    std::uint64_t save_hard_state(const schema::hard_state& state) override
    {
        return last_ = disk_.save_hard_state(state);
    }
    std::uint64_t save_snapshot(const schema::ledger_snapshot& snapshot) override
    {
        return last_ = disk_.save_snapshot(snapshot);
    }
    /// The last write that was not reported yet, or 0.
    std::uint64_t take_last() { return std::exchange(last_, 0); }

private:
    keeper::log_storage& disk_;
    std::uint64_t last_ = 0;
};

/// A view on another clock that can be made to stand still.
class stoppable_clock final : public base::clock
{
public:
    explicit stoppable_clock(const base::clock& clock) : clock_(clock) {}

    [[nodiscard]] absl::Time now() const override
    {
        return is_stopped_ ? stopped_at_ : clock_.now();
    }
    [[nodiscard]] absl::Time wall_now() const override { return now(); }
    void stop()
    {
        stopped_at_ = now();
        is_stopped_ = true;
    }

private:
    const base::clock& clock_;
    bool is_stopped_ = false;
    absl::Time stopped_at_;
};

} // namespace savoryreach::simulation

#endif
