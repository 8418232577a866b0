#ifndef SAVORYREACH_DISPATCH_OFFERED_LOAD_HPP
#define SAVORYREACH_DISPATCH_OFFERED_LOAD_HPP

#include "savoryreach/base/decaying_rate.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <string>

namespace savoryreach::dispatch
{

/// Load of one queue.
struct queue_load
{
    /// Averaging time of the recent load: a burst shows within it.
    static constexpr absl::Duration recent_period = absl::Milliseconds(500);
    /// Averaging time of the long-term load: longer than bursts, which last some seconds.
    static constexpr absl::Duration long_term_period = absl::Seconds(20);

    base::decaying_rate recent{recent_period};       ///< core-seconds a second
    base::decaying_rate long_term{long_term_period}; ///< core-seconds a second
    absl::Time first_seen_at;
    double credit = 0.0; ///< of jobs that may be admitted
};

/// Measures the work that each queue's clients offer, and decides under overload which share of it
/// is admitted. A queue that offers its long-term load keeps its share of the capacity; one with a
/// burst above it gets the capacity that the others leave. Of a queue's jobs every n-th is
/// admitted, regardless of its size.
class offered_load
{
public:
    /// Records a submitted job of \p work core-seconds.
    void add(const std::string& queue, double work, absl::Time now);
    /// The share of the queue's work that can be admitted if all queues together may use \p rate
    /// core-seconds a second.
    [[nodiscard]] double share(const std::string& queue, double rate, absl::Time now) const;
    /// Decides on the next job of the queue; the admitted jobs make up \p share of all.
    [[nodiscard]] bool admit(const std::string& queue, double share);

private:
    [[nodiscard]] static double long_term_rate(const queue_load& it, absl::Time now);

    absl::btree_map<std::string, queue_load> queues_;
};

} // namespace savoryreach::dispatch

#endif
