#ifndef SAVORYREACH_ENTRY_ENDPOINT_HEALTH_HPP
#define SAVORYREACH_ENTRY_ENDPOINT_HEALTH_HPP

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::entry
{

/// Distinguishes failing endpoints from failing jobs. An endpoint where different jobs fail is set
/// aside: it gets single probes only, with exponential backoff, until one succeeds.
/// Failures of a job that failed on several endpoints and succeeded on none are not counted against
/// the endpoints. Not thread-safe.
class endpoint_health
{
public:
    using id = std::uint32_t;
    using id_list = std::vector<id>;

    /// Adds an endpoint without failures.
    void joined(id endpoint);
    void left(id endpoint);

    /// Record the result of an attempt and return the endpoints whose penalty or set-aside state
    /// may have changed. \p may_set_aside enforces the bound on the fraction of the fleet that is
    /// set aside.
    [[nodiscard]] id_list succeeded(id endpoint, std::uint64_t job, absl::Time now,
                                    absl::FunctionRef<bool(id)> may_set_aside);
    [[nodiscard]] id_list failed(id endpoint, std::uint64_t job, absl::Time now,
                                 absl::FunctionRef<bool(id)> may_set_aside);
    /// Records an attempt that did not start; if it was a probe, the probe is repeated.
    void not_started(id endpoint, absl::Time now);

    /// An endpoint that is due for a probe and passes \p is_usable. At most a few are examined.
    [[nodiscard]] std::optional<id> find_probe(absl::Time now,
                                               absl::FunctionRef<bool(id)> is_usable);
    void probe_started(id endpoint, absl::Time now);

    /// Removes expired penalties and returns their endpoints, at most a few per call.
    [[nodiscard]] id_list expire_penalties(absl::Time now);

    /// Readmits the endpoint whose probe is due first; nullopt when none is set aside.
    std::optional<id> readmit_first();

    [[nodiscard]] bool is_set_aside(id endpoint) const { return records_[endpoint].set_aside; }
    [[nodiscard]] std::size_t set_aside_count() const { return due_.size(); }
    /// Factor on the expected completion time: doubled for each job that failed here since the last
    /// success, so that an endpoint that fails tasks quickly does not get more of them. Expires
    /// some time after the last failure, because an endpoint without work cannot record a success.
    [[nodiscard]] double penalty(id endpoint) const { return records_[endpoint].penalty; }

private:
    struct job_failure
    {
        std::uint64_t job = 0;
        double weight = 1;
        bool is_counted = true; ///< false while the job itself is the likely cause
    };

    struct record
    {
        std::vector<job_failure> failures; ///< failures since the last success
        double penalty = 1;
        absl::Time penalty_end = absl::InfinitePast(); ///< key in penalised_, while penalty > 1
        std::uint32_t successes = 0; ///< consecutive, up to the number that resets the backoff
        bool set_aside = false;
        bool probing = false;
        absl::Duration backoff; ///< zero until first set aside
        absl::Time due;         ///< of the next probe
    };

    struct job_record
    {
        std::vector<id> failed_on;
        std::vector<id> succeeded_on; ///< since its first failure; bounded
    };

    job_record& job_at(std::uint64_t job);
    void record_failure(id endpoint, std::uint64_t job, job_record& record);
    void set_counted(id endpoint, std::uint64_t job, bool is_counted, absl::Time now);
    void update_penalty(id endpoint, absl::Time end);
    void evaluate(id endpoint, absl::Time now, absl::FunctionRef<bool(id)> may_set_aside);
    /// Updates the failure rate with one result.
    void count_result(id endpoint, bool failed);
    /// Consecutive failures, of different jobs, that set an endpoint aside.
    [[nodiscard]] double failure_threshold() const;
    void set_due(id endpoint, absl::Time due);
    void readmit(id endpoint);

    std::vector<record> records_;                          ///< by endpoint
    absl::flat_hash_map<std::uint64_t, job_record> jobs_;  ///< jobs with a failure
    std::deque<std::uint64_t> job_order_;                  ///< oldest first, to bound jobs_
    absl::btree_set<std::pair<absl::Time, id>> due_;       ///< endpoints set aside
    absl::btree_set<std::pair<absl::Time, id>> penalised_; ///< endpoints with a penalty
    /// Fraction of attempts that fail at endpoints without recorded failures; decaying mean.
    double failure_rate_ = 0;
};

} // namespace savoryreach::entry

#endif
