#ifndef SAVORYREACH_DISPATCH_SPEED_MODEL_HPP
#define SAVORYREACH_DISPATCH_SPEED_MODEL_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::dispatch
{

/// Estimates the total run time of a run of which \p percent are done \p ran after its start;
/// nullopt while too little is done for an estimate.
[[nodiscard]] std::optional<absl::Duration> projected_run_time(std::uint32_t percent,
                                                               absl::Duration ran);

/// Estimates the speed of each endpoint and the bias of each queue's declared times from the run
/// times of tasks. Averages logarithms, so that a factor of two weighs the same in both directions.
/// Load pattern of cold endpoints: a third of the endpoints comes back at once, slow for seconds.
class speed_model
{
public:
    /// Adds a sample: a task of \p job with the declared time \p declared took \p actual on
    /// \p endpoint. Declared times have the same error for all tasks of a job, so successive
    /// samples of one job have decreasing weight.
    void learn(const std::string& endpoint, const std::string& queue, std::uint64_t job,
               absl::Duration declared, absl::Duration actual);
    /// Lowers the estimate of \p endpoint towards an upper bound of its speed: the median of its
    /// current runs has the declared time \p declared and takes at least \p elapsed.
    void learn_slowness(const std::string& endpoint, const std::string& queue,
                        absl::Duration declared, absl::Duration elapsed);
    /// Sets whether \p endpoint is cold: slower for a while after its start. Returns true if that
    /// is a change.
    bool set_cold(const std::string& endpoint, bool cold);
    /// Adds a sample of a run that began and ended while \p endpoint was cold. It tells how much
    /// slower cold endpoints are, and leaves the speed of the warm endpoint as it is.
    void learn_cold(const std::string& endpoint, const std::string& queue, absl::Duration declared,
                    absl::Duration actual);
    /// Speed of cold endpoints relative to the same endpoints when warm; 1 until it is learned.
    [[nodiscard]] double cold_speed() const;
    void forget(const std::string& endpoint);
    /// Sets the speed of an endpoint without an estimate to one made by another process.
    void import_estimate(const std::string& endpoint, double speed);
    /// Moves the estimate of an idle endpoint towards its long-term speed, for \p idle more time
    /// without a run, so that an endpoint that was slow for a while is tried again.
    void relax(const std::string& endpoint, absl::Duration idle);
    [[nodiscard]] bool has_estimate(const std::string& endpoint) const;

    /// Work that \p endpoint completes in a second, relative to the declared times.
    [[nodiscard]] double speed(const std::string& endpoint) const;
    /// Declared work that \p endpoint completes in a second on average. Lower than the speed, since
    /// the mean of varying run times is above their median.
    [[nodiscard]] double throughput(const std::string& endpoint) const;
    /// Expected run time of a task.
    [[nodiscard]] absl::Duration expected(const std::string& endpoint, const std::string& queue,
                                          absl::Duration declared) const;
    /// Expected run time on an endpoint of speed 1.
    [[nodiscard]] absl::Duration expected(const std::string& queue, absl::Duration declared) const;

private:
    struct estimate
    {
        double log_value = 0.0;
        double log_long_term = 0.0; ///< average over many tasks; only for endpoints
        std::uint32_t samples = 0;
        std::uint64_t last_job = 0;
        std::uint32_t successive_samples = 0; ///< of that job
    };

    [[nodiscard]] double log_speed(const std::string& endpoint) const;
    [[nodiscard]] double log_warm_speed(const std::string& endpoint) const;
    [[nodiscard]] double log_bias(const std::string& queue) const;

    absl::flat_hash_map<std::string, estimate> endpoints_;
    absl::flat_hash_map<std::string, estimate> queues_;
    absl::flat_hash_set<std::string> cold_;
    double log_cold_ = 0.0; ///< logarithm of how many times longer runs take on cold endpoints
    std::uint32_t cold_samples_ = 0;
    double variance_ = 0.0; ///< of the logarithm of actual over expected run time
};

} // namespace savoryreach::dispatch

#endif
