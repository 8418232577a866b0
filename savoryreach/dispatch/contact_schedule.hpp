#ifndef SAVORYREACH_DISPATCH_CONTACT_SCHEDULE_HPP
#define SAVORYREACH_DISPATCH_CONTACT_SCHEDULE_HPP

#include "savoryreach/dispatch/core_locator.hpp"

#include <absl/time/time.h>

namespace savoryreach::dispatch
{

/// Decides when an agent asks the dispatcher to confirm their contact. Answers a change of the
/// dispatcher under load: a new one is asked at once, since the agent takes no starts before its
/// answer. No I/O.
class contact_schedule
{
public:
    /// True if a query to \p dispatcher is due; the next one is due after the interval.
    [[nodiscard]] bool take_due(const dispatcher_ref& dispatcher, absl::Time now)
    {
        if (dispatcher == asked_ && now < next_query_at_)
        {
            return false;
        }
        asked_ = dispatcher;
        next_query_at_ = now + interval;
        return true;
    }

    /// A confirmed contact lets an agent renew leases for more than three intervals.
    static constexpr absl::Duration interval = absl::Milliseconds(200);

private:
    dispatcher_ref asked_; ///< by the latest query
    absl::Time next_query_at_ = absl::InfinitePast();
};

} // namespace savoryreach::dispatch

#endif
