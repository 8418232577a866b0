#ifndef SAVORYREACH_OBSERVE_METRICS_HPP
#define SAVORYREACH_OBSERVE_METRICS_HPP

#include "savoryreach/observe/histogram.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savoryreach::observe
{

/// Registry of named measures with labels, and their text form for /metrics. Thread-safe; the
/// references that it gives stay valid while it lives, so callers look a measure up once.
class metrics
{
public:
    using counter = std::atomic<std::uint64_t>;
    using gauge = std::atomic<double>;
    using labels = std::vector<std::pair<std::string, std::string>>;

    /// Value of every label of the measure that stands for all label sets above the bound.
    static constexpr const char* overflow_label = "other";

    /// \p max_label_sets bounds the label sets of each name, without the overflow: labels come from
    /// callers (teams, kinds) and must not grow the memory.
    explicit metrics(std::size_t max_label_sets = 512);

    /// The measure of this name and labels, made on first use. A name keeps its first type.
    counter& counter_of(const std::string& name, const std::string& help, const labels& with = {});
    gauge& gauge_of(const std::string& name, const std::string& help, const labels& with = {});
    histogram& histogram_of(const std::string& name, const std::string& help,
                            const labels& with = {});

    /// All measures in the text exposition format; histograms appear as summaries.
    [[nodiscard]] std::string to_text() const;

private:
    using measure =
        std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>, std::unique_ptr<histogram>>;

    /// All measures of one name.
    struct family
    {
        std::string help;
        std::map<labels, measure> members;
    };

    template <typename Measure>
    Measure& measure_of(const std::string& name, const std::string& help, const labels& with);

    std::size_t max_label_sets_;             ///< For each name.
    mutable std::mutex mutex_;               ///< Guards families_.
    std::map<std::string, family> families_; ///< By name.
};

} // namespace savoryreach::observe

#endif
