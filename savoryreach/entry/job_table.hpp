#ifndef SAVORYREACH_ENTRY_JOB_TABLE_HPP
#define SAVORYREACH_ENTRY_JOB_TABLE_HPP

#include "savoryreach/entry/job.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savoryreach::entry
{

/// A refusal that is repeated to every copy until its retry deadline.
struct remembered_refusal
{
    std::string digest;
    schema::job_answer answer;
    absl::Time until;
};

/// The jobs of this home entry with their timers, the remembered refusals, and the ids of removed
/// jobs. Not thread-safe.
class job_table
{
public:
    explicit job_table(std::size_t max_jobs);

    /// Adds a job. Its id must not be in the table.
    job& add(schema::submission submission, std::string digest, absl::Time now);
    [[nodiscard]] job* find(const std::string& submission_id);
    [[nodiscard]] job* find(job_number number);
    void erase(job& it);
    /// Removes all jobs and timers at the end of an epoch. Refusals and ids of removed jobs are
    /// kept.
    void clear();

    /// Sets a timer: due() returns \p number from \p at on.
    void wake_at(job_number number, absl::Time at);
    /// Removes the timers that have expired and returns their jobs. A job may be listed more than
    /// once.
    [[nodiscard]] std::vector<job_number> due(absl::Time now);

    /// False when the maximum number of remembered refusals is reached.
    bool remember_refusal(const std::string& submission_id, remembered_refusal it);
    /// The refusal in force for the submission, or null.
    [[nodiscard]] const remembered_refusal* refusal_of(const std::string& submission_id,
                                                       absl::Time now);
    /// Removes refusals whose retry deadline has passed.
    void expire_refusals(absl::Time now);

    /// Remembers the id of a removed job that may have run.
    void remember_finished(const std::string& submission_id, absl::Time now);
    /// True when the job may have run and was removed, so that only the ledger knows whether it
    /// ran.
    [[nodiscard]] bool was_finished(const std::string& submission_id) const;

    [[nodiscard]] std::size_t size() const { return jobs_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// Number of jobs that have not ended. job_ended() must be called when a job ends.
    [[nodiscard]] std::size_t open_jobs() const { return open_jobs_; }
    void job_ended(job& it);

    void for_each(const std::function<void(job&)>& visit);
    void for_each(const std::function<void(const job&)>& visit) const;

    /// Longest time budget of a job. A copy that arrives later cannot be a resend.
    static constexpr absl::Duration finished_retention = absl::Minutes(10);
    /// Maximum number of remembered ids, stored as hashes of 8 bytes.
    static constexpr std::size_t max_finished = 262'144;

private:
    using wake_up = std::pair<absl::Time, job_number>;

    std::size_t max_refusals_;      ///< maximum size of refusals_
    std::uint64_t last_number_ = 0; ///< last assigned job number
    std::size_t bytes_ = 0;         ///< of the submissions and answers in jobs_
    std::size_t open_jobs_ = 0;     ///< number of jobs that have not ended
    absl::btree_map<job_number, std::unique_ptr<job>> jobs_;        ///< in order of arrival
    absl::flat_hash_map<std::string, job*> by_id_;                  ///< by submission id
    absl::btree_set<wake_up> wake_ups_;                             ///< by time
    absl::flat_hash_map<std::string, remembered_refusal> refusals_; ///< by submission id
    std::deque<std::pair<absl::Time, std::string>> refusal_order_;  ///< in order of arrival
    absl::flat_hash_map<std::uint64_t, absl::Time> finished_;       ///< expiry by hash of the id
    std::deque<std::uint64_t> finished_order_;                      ///< oldest first
};

} // namespace savoryreach::entry

#endif
