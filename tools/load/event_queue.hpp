#ifndef SAVORYREACH_LOAD_EVENT_QUEUE_HPP
#define SAVORYREACH_LOAD_EVENT_QUEUE_HPP

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace savoryreach::load
{

/// Actions on virtual time; actions of equal times run in the order of their scheduling.
class event_queue
{
public:
    using action = std::function<void()>;

    void at(absl::Time when, action what) { queue_.push({when, ++sequence_, std::move(what)}); }
    [[nodiscard]] absl::Time next() const
    {
        return queue_.empty() ? absl::InfiniteFuture() : queue_.top().when;
    }
    void run_until(absl::Time now)
    {
        while (!queue_.empty() && queue_.top().when <= now)
        {
            const auto what = queue_.top().what;
            queue_.pop();
            what();
        }
    }

private:
    struct event
    {
        absl::Time when;
        std::uint64_t sequence;
        action what;

        friend bool operator<(const event& a, const event& b)
        {
            return std::pair(b.when, b.sequence) < std::pair(a.when, a.sequence);
        }
    };

    std::priority_queue<event> queue_;
    std::uint64_t sequence_ = 0;
};

} // namespace savoryreach::load

#endif
