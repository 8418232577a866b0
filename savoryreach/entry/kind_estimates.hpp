#ifndef SAVORYREACH_ENTRY_KIND_ESTIMATES_HPP
#define SAVORYREACH_ENTRY_KIND_ESTIMATES_HPP

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstdint>
#include <vector>

namespace savoryreach::entry
{

/// Exponentially decaying mean of run times. Boost.Accumulators has only a rolling mean, which
/// would keep a window of samples for each kind and endpoint.
struct run_time_mean
{
    double seconds = 0;
    double weight = 0; ///< number of samples, at most max_weight of add()

    [[nodiscard]] bool known() const { return weight > 0; }
    /// Adds \p count samples with the mean \p sample. A lower \p max_weight lets the mean decay
    /// faster.
    void add(double sample, double count, double max_weight);
};

/// The run times of one kind at each endpoint, and the order in which endpoints with credit are
/// preferred. Not thread-safe.
class kind_estimates
{
public:
    using id = std::uint32_t;

    /// Position in the order of preference of one data centre.
    struct rank
    {
        std::uint32_t bucket = 0;   ///< logarithm of the expected time at the endpoint
        std::uint64_t last_use = 0; ///< number of the listing; spreads starts over equal endpoints
        id endpoint = 0;

        friend auto operator<=>(const rank&, const rank&) = default;
    };
    using ranking = absl::btree_set<rank>;

    void add_samples(id endpoint, double seconds, double count, absl::Time now);
    /// Moves an estimate without recent samples towards the fleet mean, so that an endpoint that
    /// was slow for a while is tried again. True when the estimate changed.
    bool age(id endpoint, absl::Time now);

    /// Mean run time of an endpoint, else the fleet mean, else \p fallback; seconds.
    [[nodiscard]] double expected_at(id endpoint, double fallback) const;
    [[nodiscard]] double fleet_mean(double fallback) const;

    /// Lists the endpoint for starts in \p data_centre; \p factor multiplies its run time to
    /// account for its load and its health.
    void list(id endpoint, std::uint32_t data_centre, double factor);
    void unlist(id endpoint);
    [[nodiscard]] bool is_listed(id endpoint) const;
    [[nodiscard]] bool has_listed() const { return listed_ > 0; }
    [[nodiscard]] std::size_t listed() const { return listed_; }
    /// Expected time of a rank in seconds, to the resolution of the buckets.
    [[nodiscard]] static double seconds_of(const rank& position);
    [[nodiscard]] const std::vector<ranking>& rankings() const { return rankings_; }

    void attempt_started(id endpoint);
    void attempt_ended(id endpoint);
    void clear_in_flight(id endpoint);

    /// Expected seconds until the last of \p tasks has ended when they wait for the slots of this
    /// entry's attempts in flight at fast endpoints; infinite when it is not below \p limit.
    [[nodiscard]] double completion_by_waiting(double tasks, double limit) const;

private:
    /// Two buckets per octave from 1 us to about 18 minutes.
    static constexpr std::size_t run_time_buckets = 61;

    struct endpoint_estimate
    {
        run_time_mean mean;
        absl::Time sampled_at;
        rank position;
        std::uint32_t data_centre = 0;
        std::uint32_t in_flight = 0;
        std::uint32_t run_time_bucket = 0;
        bool listed = false;
    };

    static std::uint32_t run_time_bucket_of(double seconds);
    endpoint_estimate& at(id endpoint);
    void update_run_time_bucket(id endpoint);

    std::vector<endpoint_estimate> endpoints_; ///< by endpoint
    std::vector<ranking> rankings_;            ///< endpoints with credit, by data centre
    std::size_t listed_ = 0;                   ///< endpoints in rankings_
    std::uint64_t last_use_ = 0;               ///< number of the latest listing
    run_time_mean fleet_;                      ///< over all endpoints
    std::array<std::uint32_t, run_time_buckets> in_flight_{}; ///< attempts by expected run time
};

} // namespace savoryreach::entry

#endif
