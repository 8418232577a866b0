#ifndef SAVORYREACH_OBSERVE_HISTOGRAM_HPP
#define SAVORYREACH_OBSERVE_HISTOGRAM_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace savoryreach::observe
{

/// Distribution of a measured value in constant memory. Quantiles are estimated with the
/// P-square algorithm of Boost.Accumulators. Thread-safe.
class histogram
{
public:
    /// Quantiles that are estimated.
    static constexpr double probabilities[] = {0.5, 0.9, 0.99};

    /// A consistent reading.
    struct summary
    {
        std::uint64_t count = 0;
        double sum = 0;
        double mean = 0;
        std::vector<double> quantiles; ///< one for each of `probabilities`; empty without values
    };

    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /// Takes in one value; values that are no numbers are left out.
    void observe(double value);

    [[nodiscard]] summary read() const;

private:
    struct accumulators;

    mutable std::mutex mutex_;            ///< Guards state_.
    std::unique_ptr<accumulators> state_; ///< Hides the Boost headers, which are slow to compile.
};

} // namespace savoryreach::observe

#endif
