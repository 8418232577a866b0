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

/// Finds out which tasks of taken-over jobs have started under fenced epochs, adopts their results,
/// and frees the others to be started. One takeover serves all jobs of an epoch. Not thread-safe.
class recovery
{
public:
    struct hooks
    {
        std::function<void(job&)> resume; ///< the job's tasks are resolved
    };

    recovery(entry_context& context, membership& members, keeper_client& keepers, job_table& jobs,
             task_results& results, hooks call);

    /// Resolves the tasks of \p it with respect to its dead epochs.
    void add(job& it);
    /// The job has ended.
    void remove(job& it);
    void clear();

    void receive(const base::node_name& from, const schema::inquiry_reply& reply);
    void tick();

    /// The old entry lease of 3 s and the session lease of 2 s granted under it.
    static constexpr absl::Duration fence_wait = absl::Seconds(5);

private:
    void evaluate(job& it);
    void adopt_successes(job& it);
    void resolve(job& it);
    void resolve_task(job& it, std::uint32_t index, const start_record* record, absl::Time over_at);
    void check_awaited(job& it);
    void check_awaited(job& it, std::uint32_t index);
    /// For each task the record that tells most about it, or null.
    [[nodiscard]] std::vector<const start_record*> best_records(const job& it) const;
    [[nodiscard]] bool is_accounted(const job& it) const;
    [[nodiscard]] absl::Time fence_over_at(const job& it) const;
    void learn_records(job& it);

    entry_context& context_;                                              ///< ports
    membership& members_;                                                 ///< own epoch
    keeper_client& keepers_;                                              ///< for fence_info
    job_table& jobs_;                                                     ///< to find jobs
    task_results& results_;                                               ///< takes adopted results
    hooks call_;                                                          ///< told about jobs
    absl::btree_map<std::uint64_t, std::unique_ptr<takeover>> takeovers_; ///< by dead epoch
    /// Deadlines of the takeovers are noticed at this interval; replies at the next tick.
    static constexpr absl::Duration evaluate_interval = absl::Milliseconds(50);

    bool is_changed_ = false;                       ///< a reply has come in
    absl::Time evaluate_at_ = absl::InfinitePast(); ///< next look at all open jobs
    absl::btree_set<job_number> open_;              ///< jobs with unresolved or awaited tasks
};

} // namespace savoryreach::entry

#endif
