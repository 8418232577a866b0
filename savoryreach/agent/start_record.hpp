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

/// Stores every attempt that this incarnation has started, with its result, and every recalled
/// attempt. Started attempts are kept until the job is released or until 10 minutes after they
/// ended, recalls until the release or for 10 minutes. The total size of the outputs is bounded:
/// the oldest outputs are dropped first, while the records of their starts stay.
class start_record
{
public:
    /// One started attempt.
    struct attempt
    {
        base::attempt_id id;
        std::uint64_t epoch = 0;    ///< epoch that sent the start
        bool is_ended = false;      ///< `result` is set
        bool is_released = false;   ///< the record is erased when the attempt ends
        schema::task_result result; ///< has no output after it was dropped
        absl::Time ended_at = absl::InfiniteFuture(); ///< InfiniteFuture while running
    };

    explicit start_record(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

    void add_start(const base::attempt_id& id, std::uint64_t epoch);
    /// Stores the result of an attempt that has ended; the attempt must have been started.
    void set_result(const base::attempt_id& id, const schema::task_result& result, absl::Time now);
    /// Records that \p epoch has recalled the attempt; a later start of it by the same epoch must
    /// be refused.
    void add_recall(const base::attempt_id& id, std::uint64_t epoch, absl::Time now);

    /// The pointer is valid until the next change; nullptr when the attempt was not started.
    [[nodiscard]] const attempt* find(const base::attempt_id& id) const;
    [[nodiscard]] bool was_recalled(const base::attempt_id& id, std::uint64_t epoch) const;
    /// True when another attempt of the same task was started.
    [[nodiscard]] bool has_other_attempt(const base::attempt_id& id) const;
    /// True when another attempt of the same task is running.
    [[nodiscard]] bool has_other_running(const base::attempt_id& id) const;

    /// Erases the submission's attempts and recalls of the epochs for which \p covers holds;
    /// running attempts are erased when they end.
    void release(const std::string& submission_id, absl::FunctionRef<bool(std::uint64_t)> covers);
    /// Erases attempts that ended, and recalls that arrived, longer ago than the retention.
    void expire(absl::Time now);
    void clear();

    /// Calls \p visit for all started attempts in ascending order of their ids.
    void for_each(absl::FunctionRef<void(const attempt&)> visit) const;

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t result_bytes() const { return result_bytes_; }

private:
    using task_attempt = std::pair<std::uint32_t, std::uint32_t>;

    struct submission_record
    {
        absl::btree_map<task_attempt, attempt> attempts;
        absl::btree_set<std::pair<std::uint64_t, task_attempt>> recalled; ///< by epoch
    };

    [[nodiscard]] attempt* find_mutable(const base::attempt_id& id);
    [[nodiscard]] bool any_other(const base::attempt_id& id,
                                 absl::FunctionRef<bool(const attempt&)> matches) const;
    void erase(const base::attempt_id& id);
    void erase_if_empty(const std::string& submission_id);
    void drop_output(attempt& entry);

    std::size_t max_result_bytes_;
    std::size_t result_bytes_ = 0; ///< total size of the stored outputs
    std::size_t size_ = 0;         ///< number of started attempts
    absl::btree_map<std::string, submission_record> submissions_;
    /// Ended attempts by time of end; may refer to erased attempts.
    std::deque<std::pair<absl::Time, base::attempt_id>> ends_;
    /// Attempts with output by time of end; may refer to erased attempts.
    std::deque<base::attempt_id> outputs_;
    /// Recalls with their epoch by time of arrival; may refer to erased recalls.
    std::deque<std::tuple<absl::Time, std::uint64_t, base::attempt_id>> recalls_;
};

} // namespace savoryreach::agent

#endif
