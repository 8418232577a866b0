#ifndef SAVORYREACH_ENTRY_ENDPOINT_STANDING_HPP
#define SAVORYREACH_ENTRY_ENDPOINT_STANDING_HPP

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

/// Separates failing endpoints from failing jobs. Failures of different jobs at one endpoint cause
/// it to be set aside; a single probe after a growing delay readmits it. A job that failed on
/// several endpoints and succeeded on none counts against none of them. Not thread-safe.
class endpoint_standing
{
public:
    using id = std::uint32_t;
    using id_list = std::vector<id>;

    /// Starts with a clean record.
    void joined(id endpoint);
    void left(id endpoint);

    /// Each of these returns the endpoints whose rank or service state may have changed.
    /// \p may_set_aside holds the bound on the part of the fleet that is set aside.
    [[nodiscard]] id_list succeeded(id endpoint, std::uint64_t job, absl::Time now,
                                    absl::FunctionRef<bool(id)> may_set_aside);
    [[nodiscard]] id_list failed(id endpoint, std::uint64_t job, absl::Time now,
                                 absl::FunctionRef<bool(id)> may_set_aside);
    /// An attempt never started: a probe says nothing and may be repeated.
    void not_started(id endpoint, absl::Time now);

    /// An endpoint that is due for a probe and passes \p is_usable. At most a few are examined.
    [[nodiscard]] std::optional<id> find_probe(absl::Time now,
                                               absl::FunctionRef<bool(id)> is_usable);
    void probe_started(id endpoint, absl::Time now);

    /// Ends the penalties that are over; returns their endpoints, at most a few for each call.
    [[nodiscard]] id_list expire_penalties(absl::Time now);

    /// Readmits the endpoint whose probe is due first; nullopt when none is set aside.
    std::optional<id> readmit_first();

    [[nodiscard]] bool is_set_aside(id endpoint) const { return records_[endpoint].set_aside; }
    [[nodiscard]] std::size_t set_aside_count() const { return due_.size(); }
    /// Factor on the expected completion time; 2 for each job that failed here since the last
    /// success, so that fast failures attract no work. Ends some time after the last failure,
    /// because an endpoint that gets no work cannot show that it is healthy.
    [[nodiscard]] double penalty(id endpoint) const { return records_[endpoint].penalty; }

private:
    struct suspicion
    {
        std::uint64_t job = 0;
        double weight = 1;
        bool counts = true; ///< false while the job itself is the likely cause
    };

    struct record
    {
        std::vector<suspicion> suspicions; ///< failures since the last success
        double penalty = 1;
        absl::Time penalty_end = absl::InfinitePast(); ///< key in penalised_, while penalty > 1
        std::uint32_t successes = 0; ///< in a row, up to the number that resets the backoff
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
    void note_failure(id endpoint, std::uint64_t job, job_record& record);
    void set_counts(id endpoint, std::uint64_t job, bool counts, absl::Time now);
    void update_penalty(id endpoint, absl::Time end);
    void evaluate(id endpoint, absl::Time now, absl::FunctionRef<bool(id)> may_set_aside);
    /// Counts one result towards the usual failure rate.
    void count_result(id endpoint, bool failed);
    /// Failures in a row, of different jobs, that set an endpoint aside.
    [[nodiscard]] double evidence_limit() const;
    void set_due(id endpoint, absl::Time due);
    void readmit(id endpoint);

    std::vector<record> records_;                          ///< by endpoint
    absl::flat_hash_map<std::uint64_t, job_record> jobs_;  ///< jobs with a failure
    std::deque<std::uint64_t> job_order_;                  ///< oldest first, for the bound
    absl::btree_set<std::pair<absl::Time, id>> due_;       ///< endpoints set aside
    absl::btree_set<std::pair<absl::Time, id>> penalised_; ///< endpoints with a penalty
    /// Part of the attempts that fail at endpoints without suspicion; decaying mean.
    double failure_rate_ = 0;
};

} // namespace savoryreach::entry

#endif
