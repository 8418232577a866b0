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

/// Decaying mean of run times. Boost.Accumulators has no exponentially weighted mean (its rolling
/// mean keeps a window of samples for each of kinds x endpoints), so this is a plain one.
struct run_time_mean
{
    double seconds = 0;
    double weight = 0; ///< samples behind the mean, bounded by the memory of the mean

    [[nodiscard]] bool known() const { return weight > 0; }
    /// Adds \p count samples with the mean \p sample.
    void add(double sample, double count, double memory);
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
        std::uint32_t bucket = 0;   ///< logarithm of the expected time in the endpoint
        std::uint64_t last_use = 0; ///< spreads starts over equal endpoints
        id endpoint = 0;

        friend auto operator<=>(const rank&, const rank&) = default;
    };
    using ranking = absl::btree_set<rank>;

    void learn(id endpoint, double seconds, double count, absl::Time now);
    /// Moves an estimate without recent samples towards the fleet mean, so that an endpoint that
    /// was slow for a while is tried again. True when the estimate changed.
    bool age(id endpoint, absl::Time now);

    /// Learned run time of an endpoint, else the fleet mean, else \p fallback; seconds.
    [[nodiscard]] double expected_at(id endpoint, double fallback) const;
    [[nodiscard]] double fleet_mean(double fallback) const;

    /// Lists the endpoint for starts in \p data_centre; \p factor multiplies its run time for the
    /// queue in front of its slots and for its standing.
    void list(id endpoint, std::uint32_t data_centre, double factor);
    void unlist(id endpoint);
    [[nodiscard]] bool is_listed(id endpoint) const;
    [[nodiscard]] bool has_listed() const { return listed_ > 0; }
    [[nodiscard]] std::size_t listed() const { return listed_; }
    /// The expected time that a rank stands for, to the resolution of the ranking.
    [[nodiscard]] static double seconds_of(const rank& position);
    [[nodiscard]] const std::vector<ranking>& rankings() const { return rankings_; }

    void start(id endpoint);
    void end(id endpoint);
    void forget_in_flight(id endpoint);

    /// Expected seconds until the last of \p tasks has ended when they wait for the slots of this
    /// entry's attempts in flight at fast endpoints; infinite when it is not below \p limit.
    [[nodiscard]] double completion_by_waiting(double tasks, double limit) const;

private:
    /// Two buckets per octave from 1 us to about 18 minutes.
    static constexpr std::size_t flight_buckets = 61;

    struct cell
    {
        run_time_mean mean;
        absl::Time learned_at;
        rank position;
        std::uint32_t data_centre = 0;
        std::uint32_t in_flight = 0;
        std::uint32_t flight_bucket = 0;
        bool listed = false;
    };

    static std::uint32_t flight_bucket_of(double seconds);
    cell& at(id endpoint);
    void move_flight(id endpoint);

    std::vector<cell> cells_;       ///< by endpoint
    std::vector<ranking> rankings_; ///< endpoints with credit, by data centre
    std::size_t listed_ = 0;        ///< endpoints in rankings_
    std::uint64_t uses_ = 0;        ///< numbers the listings
    run_time_mean fleet_;           ///< over all endpoints
    std::array<std::uint32_t, flight_buckets> in_flight_{}; ///< attempts by expected run time
};

} // namespace savoryreach::entry

#endif
