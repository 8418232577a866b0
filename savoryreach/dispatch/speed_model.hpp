#ifndef SAVORYREACH_DISPATCH_SPEED_MODEL_HPP
#define SAVORYREACH_DISPATCH_SPEED_MODEL_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace savoryreach::dispatch
{

/// The whole run time of a run of which \p percent are done \p ran after its start; nullopt while
/// too little is done to tell it.
[[nodiscard]] std::optional<absl::Duration> whole_run_time(std::uint32_t percent,
                                                           absl::Duration ran);

/// Learns how fast endpoints are and how far off the declared times of each queue's tasks are, from
/// the run times of tasks. Works in logarithms, so that twice too slow weighs like twice too fast.
class speed_model
{
public:
    /// A task of \p job with the declared time \p declared took \p actual on \p endpoint. Declared
    /// times are off alike for all tasks of a job, so several in a row count for little more than
    /// one.
    void learn(const std::string& endpoint, const std::string& queue, std::uint64_t job,
               absl::Duration declared, absl::Duration actual);
    /// The middle one of the tasks that run on \p endpoint is a task of the declared time, runs
    /// since \p elapsed and has not ended: the endpoint is hardly faster than that.
    void learn_slowness(const std::string& endpoint, const std::string& queue,
                        absl::Duration declared, absl::Duration elapsed);
    void forget(const std::string& endpoint);
    /// What another process has learned of an endpoint that is not known here yet.
    void adopt(const std::string& endpoint, double speed);
    /// Nothing runs on \p endpoint for \p idle more: an estimate that is off its usual speed is
    /// trusted less, so that an endpoint that was slow for a while is tried again.
    void relax(const std::string& endpoint, absl::Duration idle);
    [[nodiscard]] bool knows(const std::string& endpoint) const;

    /// Work done in a second on \p endpoint, relative to the declared times.
    [[nodiscard]] double speed(const std::string& endpoint) const;
    /// Declared work that \p endpoint gets through in a second, in the long run. Lower than the
    /// speed: the mean of uneven run times is above the middle one.
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
        double log_usual = 0.0; ///< over many tasks; of endpoints only
        std::uint32_t samples = 0;
        std::uint64_t last_job = 0;
        std::uint32_t in_a_row = 0; ///< samples of that job
    };

    [[nodiscard]] double log_speed(const std::string& endpoint) const;
    [[nodiscard]] double log_bias(const std::string& queue) const;

    absl::flat_hash_map<std::string, estimate> endpoints_;
    absl::flat_hash_map<std::string, estimate> queues_;
    double variance_ = 0.0; ///< of run times about the expected ones, in logarithms
};

} // namespace savoryreach::dispatch

#endif
