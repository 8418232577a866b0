#ifndef SAVORYREACH_DISPATCH_ROOM_FORECAST_HPP
#define SAVORYREACH_DISPATCH_ROOM_FORECAST_HPP

#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/speed_model.hpp"

#include <absl/time/time.h>

#include <vector>

namespace savoryreach::dispatch
{

/// When \p run is expected to end on \p host: from its reported progress, or from its declared time
/// and the endpoint's speed. A run that has passed its estimate is expected to take half as long
/// again as it has taken so far, since run times have a long tail.
[[nodiscard]] absl::Time expected_end(const task_run& run, const std::string& host,
                                      const speed_model& speeds, absl::Time now);

/// The room on one endpoint as its current runs end. A snapshot: later starts are not in it.
class room_forecast
{
public:
    room_forecast(const endpoint& it, const speed_model& speeds, absl::Time now);

    /// The earliest time with room for \p demand; infinite future if the endpoint is too small.
    [[nodiscard]] absl::Time when_free(const resources& demand) const;
    /// The room that is expected to be free at \p at.
    [[nodiscard]] resources free_at(absl::Time at) const;

private:
    struct level
    {
        absl::Time from;
        resources free;
    };

    std::vector<level> levels_; ///< by time; the first one holds from the snapshot on
};

} // namespace savoryreach::dispatch

#endif
