#ifndef SAVORYREACH_DISPATCH_OFFERED_LOAD_HPP
#define SAVORYREACH_DISPATCH_OFFERED_LOAD_HPP

#include "savoryreach/base/decaying_rate.hpp"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <string>

namespace savoryreach::dispatch
{

/// What is known of one queue.
struct queue_load
{
    /// A burst shows within this time.
    static constexpr absl::Duration late_period = absl::Milliseconds(500);
    /// What is usual changes slower than a burst of some seconds.
    static constexpr absl::Duration usual_period = absl::Seconds(20);

    base::decaying_rate lately{late_period};   ///< core-seconds a second
    base::decaying_rate usually{usual_period}; ///< core-seconds a second
    absl::Time since;
    double credit = 0.0; ///< of jobs that may be taken
};

/// Measures the work that each queue's clients offer, and decides under overload which share of it
/// is taken. Answers floods: a queue that offers what it usually does keeps its share of the
/// capacity, one that floods gets what the others leave. Of a queue's jobs every n-th is taken,
/// whatever its size.
class offered_load
{
public:
    /// A job of \p work core-seconds was handed in.
    void note(const std::string& queue, double work, absl::Time now);
    /// The share of the queue's work that fits, if all queues together may use \p rate
    /// core-seconds a second.
    [[nodiscard]] double share(const std::string& queue, double rate, absl::Time now) const;
    /// Takes or leaves the next job of the queue, so that the taken ones make up \p share.
    [[nodiscard]] bool take(const std::string& queue, double share);

private:
    [[nodiscard]] static double usual(const queue_load& it, absl::Time now);

    absl::btree_map<std::string, queue_load> queues_;
};

} // namespace savoryreach::dispatch

#endif
