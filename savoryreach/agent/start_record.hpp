#ifndef SAVORYREACH_AGENT_START_RECORD_HPP
#define SAVORYREACH_AGENT_START_RECORD_HPP

#include "savoryreach/base/attempt_id.hpp"
#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <tuple>
#include <utility>

namespace savoryreach::agent
{

/// Remembers every attempt that this incarnation has started, with its result, and every attempt
/// that was recalled, until the job is released or 10 minutes after the end. Outputs are bounded
/// in bytes: the oldest are dropped first, the record of the start stays.
class start_record
{
public:
    /// One started attempt.
    struct attempt
    {
        base::attempt_id id;
        std::uint64_t epoch = 0;                      ///< that sent the start
        bool is_ended = false;                        ///< `result` is set
        bool is_released = false;                     ///< drop it when it ends
        schema::task_result result;                   ///< without output once dropped
        absl::Time ended_at = absl::InfiniteFuture(); ///< InfiniteFuture while it runs
    };

    explicit start_record(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

    void add_start(const base::attempt_id& id, std::uint64_t epoch);
    /// \p result replaces the record's; the attempt must have been started.
    void set_result(const base::attempt_id& id, const schema::task_result& result, absl::Time now);
    /// \p epoch has taken the attempt back; a start of it by the same epoch must be refused.
    void add_recall(const base::attempt_id& id, std::uint64_t epoch, absl::Time now);

    /// Valid until the next change; nullptr when the attempt was not started.
    [[nodiscard]] const attempt* find(const base::attempt_id& id) const;
    [[nodiscard]] bool was_recalled(const base::attempt_id& id, std::uint64_t epoch) const;
    /// True when another attempt of the same task was started.
    [[nodiscard]] bool has_other_attempt(const base::attempt_id& id) const;
    /// True when another attempt of the same task runs.
    [[nodiscard]] bool has_other_running(const base::attempt_id& id) const;

    /// Drops what the submission has of the epochs for which \p covers holds; what still runs is
    /// dropped when it ends.
    void release(const std::string& submission_id, absl::FunctionRef<bool(std::uint64_t)> covers);
    /// Drops what ended longer ago than the retention.
    void expire(absl::Time now);
    void clear();

    /// Calls \p visit for all started attempts in the order of their ids.
    void for_each(absl::FunctionRef<void(const attempt&)> visit) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }

private:
    using task_attempt = std::pair<std::uint32_t, std::uint32_t>;

    struct submission_record
    {
        absl::btree_map<task_attempt, attempt> attempts;
        absl::btree_set<std::pair<std::uint64_t, task_attempt>> recalled; ///< with the epoch
    };

    [[nodiscard]] attempt* find_mutable(const base::attempt_id& id);
    [[nodiscard]] bool any_other(const base::attempt_id& id,
                                 absl::FunctionRef<bool(const attempt&)> matches) const;
    void erase(const base::attempt_id& id);
    void erase_if_empty(const std::string& submission_id);
    void drop_output(attempt& entry);

    std::size_t max_result_bytes_;
    std::size_t result_bytes_ = 0; ///< sum of all kept outputs
    std::size_t size_ = 0;         ///< started attempts
    absl::btree_map<std::string, submission_record> submissions_;
    std::deque<std::pair<absl::Time, base::attempt_id>> ends_; ///< by end; may be stale
    std::deque<base::attempt_id> outputs_;                     ///< by end; may be stale
    /// Recalls with epoch, by time; may be stale.
    std::deque<std::tuple<absl::Time, std::uint64_t, base::attempt_id>> recalls_;
};

} // namespace savoryreach::agent

#endif
