#ifndef SAVORYREACH_DISPATCH_SPEED_MODEL_HPP
#define SAVORYREACH_DISPATCH_SPEED_MODEL_HPP

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace savoryreach::dispatch
{

/// Learns how fast endpoints are and how far off the declared times of each queue's tasks are, from
/// the run times of tasks. Works in logarithms, so that twice too slow weighs like twice too fast.
class speed_model
{
public:
    /// A task of \p queue with the declared time \p declared took \p actual on \p endpoint.
    void learn(const std::string& endpoint, const std::string& queue, absl::Duration declared,
               absl::Duration actual);
    /// The middle one of the tasks that run on \p endpoint is a task of the declared time, runs
    /// since \p elapsed and has not ended: the endpoint is hardly faster than that.
    void learn_slowness(const std::string& endpoint, const std::string& queue,
                        absl::Duration declared, absl::Duration elapsed);
    void forget(const std::string& endpoint);

    /// Work done in a second on \p endpoint, relative to the declared times.
    [[nodiscard]] double speed(const std::string& endpoint) const;
    /// Expected run time of a task.
    [[nodiscard]] absl::Duration expected(const std::string& endpoint, const std::string& queue,
                                          absl::Duration declared) const;
    /// Expected run time on an endpoint of speed 1.
    [[nodiscard]] absl::Duration expected(const std::string& queue, absl::Duration declared) const;

private:
    struct estimate
    {
        double log_value = 0.0;
        std::uint32_t samples = 0;
    };

    [[nodiscard]] double log_speed(const std::string& endpoint) const;
    [[nodiscard]] double log_bias(const std::string& queue) const;

    absl::flat_hash_map<std::string, estimate> endpoints_;
    absl::flat_hash_map<std::string, estimate> queues_;
};

} // namespace savoryreach::dispatch

#endif
