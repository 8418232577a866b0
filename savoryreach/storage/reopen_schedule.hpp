#ifndef SAVORYREACH_STORAGE_REOPEN_SCHEDULE_HPP
#define SAVORYREACH_STORAGE_REOPEN_SCHEDULE_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace savoryreach::storage
{

/// Decides when a storage whose disk refused a write is opened again. Answers short faults of a
/// disk, such as a full one, one after the other on several members of the core: a member must
/// count again before the next one fails.
class reopen_schedule
{
public:
    /// Pause before the first attempt; doubles with each further one.
    static constexpr absl::Duration first_pause = absl::Milliseconds(100);
    /// Longest pause, and so the longest time for which a disk that takes writes again is not used.
    static constexpr absl::Duration longest_pause = absl::Milliseconds(800);

    /// A write, or an attempt to open the storage again, has failed.
    void on_failure(absl::Time now)
    {
        failed_since_ = failed_since_.value_or(now);
        next_attempt_at_ = now + pause_after(attempts_);
    }

    void on_reopened() { *this = {}; }

    /// True once for each attempt that is due; its result is reported by the calls above.
    [[nodiscard]] bool begin_attempt(absl::Time now)
    {
        if (now < next_attempt_at_)
        {
            return false;
        }
        next_attempt_at_ = absl::InfiniteFuture();
        ++attempts_;
        return true;
    }

    /// Time of the failure; nullopt while the storage is open.
    [[nodiscard]] std::optional<absl::Time> failed_since() const { return failed_since_; }
    [[nodiscard]] std::uint64_t attempts() const { return attempts_; }

private:
    static absl::Duration pause_after(std::uint64_t attempts)
    {
        constexpr std::uint64_t doublings = 3; // first_pause to longest_pause
        return std::min(first_pause * (1 << std::min(attempts, doublings)), longest_pause);
    }

    std::optional<absl::Time> failed_since_;
    absl::Time next_attempt_at_ = absl::InfiniteFuture();
    std::uint64_t attempts_ = 0; ///< Since the failure.
};

} // namespace savoryreach::storage

#endif
