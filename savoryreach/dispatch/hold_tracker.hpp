#ifndef SAVORYREACH_DISPATCH_HOLD_TRACKER_HPP
#define SAVORYREACH_DISPATCH_HOLD_TRACKER_HPP

#include "savoryreach/dispatch/task_id.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace savoryreach::dispatch
{

/// Hold calls of an agent that have no answer yet. A call counts as lost when its answer is
/// overdue: its wait and a margin have passed, or another call has returned an end that it should
/// have returned as well. A lost call may still be answered.
class hold_tracker
{
public:
    struct outstanding_call
    {
        std::uint64_t number = 0;
        absl::Time sent_at;
        absl::Time due_at; ///< when it counts as lost
        bool lost = false;

        friend bool operator==(const outstanding_call&, const outstanding_call&) = default;
    };

    /// Adds a call that the endpoint answers by \p due_at; returns its number.
    std::uint64_t add(absl::Time now, absl::Time due_at);
    /// Removes an answered or failed call; nullopt if it is unknown.
    std::optional<outstanding_call> remove(std::uint64_t number);
    /// Another call has returned a new end: the others are due within \p margin.
    void on_new_end(absl::Time now, absl::Duration margin);
    /// Counts overdue calls as lost; returns how many were not counted before.
    std::size_t expire(absl::Time now);
    /// The process did not run up to \p now: answers may have arrived meanwhile.
    void postpone(absl::Time due_at);
    void clear() { calls_.clear(); }

    /// Number of calls sent at \p since or later that are not lost.
    [[nodiscard]] std::size_t live(absl::Time since) const;
    /// When the next call is overdue.
    [[nodiscard]] absl::Time next_due() const;

private:
    std::vector<outstanding_call> calls_;
    std::uint64_t last_number_ = 0;
};

/// Tracks whether an endpoint answers its agent's calls.
class endpoint_contact
{
public:
    void on_answer(absl::Time now);
    /// A call is overdue or has failed.
    void on_loss(absl::Time now);
    /// A later copy of a start call was answered before an earlier one, which counts as lost unless
    /// it is answered soon.
    void on_overtaken(const task_id& task, absl::Time now);
    /// A start call that another copy had overtaken was answered after all.
    void on_late_answer(const task_id& task);
    /// Counts overtaken calls without an answer as lost.
    void expire(absl::Time now);
    /// The process did not run up to \p now.
    void on_pause(absl::Time now) { answered_at_ = now; }

    /// True when several calls in a row, over some time, have had no answer.
    [[nodiscard]] bool is_silent(absl::Time now) const;
    /// True when calls were lost in the last seconds.
    [[nodiscard]] bool loses_calls(absl::Time now) const;

private:
    struct overtaken_call
    {
        task_id task;
        absl::Time due_at;
    };

    std::vector<overtaken_call> overtaken_;
    std::uint32_t unanswered_ = 0; ///< in a row
    absl::Time answered_at_ = absl::InfinitePast();
    absl::Time loss_seen_at_ = absl::InfinitePast();
};

} // namespace savoryreach::dispatch

#endif
