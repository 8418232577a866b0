#ifndef SAVORYREACH_DISPATCH_RESERVATION_PLAN_HPP
#define SAVORYREACH_DISPATCH_RESERVATION_PLAN_HPP

#include "savoryreach/dispatch/job.hpp"
#include "savoryreach/dispatch/placement_index.hpp"
#include "savoryreach/dispatch/room_forecast.hpp"
#include "savoryreach/dispatch/speed_model.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace savoryreach::dispatch
{

/// Room that was reserved for a task.
struct reserved_room
{
    std::string host;
    absl::Time start_at; ///< expected

    friend bool operator==(const reserved_room&, const reserved_room&) = default;
};

/// Reserves room for wide tasks that fit on no endpoint now, so that narrower tasks which start
/// meanwhile (backfill) do not delay them: such a task must end before the reserved start, or leave
/// the reserved room free. Load: wide tasks behind a stream of narrow ones, which otherwise take
/// every gap before it is wide enough.
///
/// A reservation is planned for the endpoint where its task is expected to end first, and planned
/// again with each refresh(). A task that has not started long after its first planned start
/// loses its claim, so that a wrong estimate leaves no room idle for long.
class reservation_plan
{
public:
    /// Searches for room between two refreshes; the other wide tasks wait without a reservation.
    static constexpr std::size_t max_reservations = 16;

    /// Drops the reservations; to be called when the index has been rebuilt, since endpoints may
    /// have gone and estimates have changed. Forgets the tasks that did not ask since the last
    /// call.
    void refresh();
    void clear();
    /// Reserves room for a task that waits. Nullopt if it has a reservation, if its claim has
    /// expired, or if no more endpoints may be reserved.
    std::optional<reserved_room> reserve(const task_id& id, const job& owner, const job_step& step,
                                         const endpoint_ranking& ranking, const speed_model& speeds,
                                         absl::Time now);
    /// True if a run of \p demand on \p it until \p end leaves the reserved start as planned.
    [[nodiscard]] bool allows(const endpoint& it, const task_id& id, const resources& demand,
                              absl::Time end) const;
    /// Records the start of a task: ends its own reservation, or takes its room from another one.
    void on_start(const endpoint& it, const task_id& id, const resources& demand, absl::Time end);
    [[nodiscard]] bool empty() const { return by_endpoint_.empty(); }

private:
    struct reservation
    {
        task_id task;
        absl::Time start_at;
        resources spare; ///< free at that time beside the task
    };
    struct claim
    {
        absl::Time expires_at;
        bool asked = true; ///< since the last refresh
    };

    const room_forecast& forecast_of(const endpoint& it, const speed_model& speeds, absl::Time now);

    absl::flat_hash_map<const endpoint*, reservation> by_endpoint_;
    absl::flat_hash_map<task_id, const endpoint*> by_task_;
    absl::flat_hash_map<task_id, claim> claims_;
    absl::flat_hash_map<const endpoint*, room_forecast> forecasts_; ///< since the last refresh
    std::size_t searches_ = 0;                                      ///< since the last refresh
};

} // namespace savoryreach::dispatch

#endif
