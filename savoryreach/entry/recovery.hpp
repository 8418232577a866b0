#ifndef SAVORYREACH_ENTRY_RECOVERY_HPP
#define SAVORYREACH_ENTRY_RECOVERY_HPP

#include "savoryreach/entry/entry_context.hpp"
#include "savoryreach/entry/job_table.hpp"
#include "savoryreach/entry/keeper_client.hpp"
#include "savoryreach/entry/membership.hpp"
#include "savoryreach/entry/takeover.hpp"
#include "savoryreach/entry/task_results.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace savoryreach::entry
{

/// Determines which tasks of taken-over jobs were started by fenced epochs, adopts their results,
/// and makes the other tasks startable. One takeover serves all jobs of an epoch. Not thread-safe.
class recovery
{
public:
    struct hooks
    {
        std::function<void(job&)> resume; ///< all tasks of the job are resolved
    };

    recovery(entry_context& context, membership& members, keeper_client& keepers, job_table& jobs,
             task_results& results, hooks handlers);

    /// Starts to resolve the tasks that the dead epochs of \p it may have started.
    void add(job& it);
    /// Stops the recovery of a job that has ended.
    void remove(job& it);
    void clear();

    void receive(const base::node_name& from, const schema::inquiry_reply& reply);
    void tick();

    /// Sum of the entry lease of 3 s and the session lease of 2 s that the fenced entry may have
    /// granted at its end.
    static constexpr absl::Duration fence_wait = absl::Seconds(5);

private:
    void evaluate(job& it);
    void adopt_successes(job& it);
    void resolve(job& it);
    void resolve_task(job& it, std::uint32_t index, const start_record* record,
                      absl::Time ended_by);
    void check_awaited(job& it);
    void check_awaited(job& it, std::uint32_t index);
    /// For each task the record with the highest certainty, or null.
    [[nodiscard]] std::vector<const start_record*> decisive_records(const job& it) const;
    [[nodiscard]] bool is_inquiry_complete(const job& it) const;
    [[nodiscard]] absl::Time fence_wait_end(const job& it) const;
    void apply_start_records(job& it);

    entry_context& context_; ///< interfaces to the environment
    membership& members_;    ///< provides the current epoch
    keeper_client& keepers_; ///< for fence_info requests
    job_table& jobs_;        ///< jobs of this entry
    task_results& results_;  ///< receives adopted results
    hooks hooks_;            ///< notified of recovered jobs
    absl::btree_map<std::uint64_t, std::unique_ptr<takeover>> takeovers_; ///< by dead epoch
    /// Interval of the checks for passed takeover deadlines. Replies are evaluated at the next
    /// tick.
    static constexpr absl::Duration evaluate_interval = absl::Milliseconds(50);

    bool has_new_reply_ = false; ///< a reply was received since the last evaluation
    absl::Time evaluate_at_ = absl::InfinitePast(); ///< next evaluation of all open jobs
    absl::btree_set<job_number> open_;              ///< jobs with unresolved or awaited tasks
};

} // namespace savoryreach::entry

#endif
