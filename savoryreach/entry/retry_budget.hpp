#ifndef SAVORYREACH_ENTRY_RETRY_BUDGET_HPP
#define SAVORYREACH_ENTRY_RETRY_BUDGET_HPP

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace savoryreach::entry
{

/// Bounds retries to a percentage of first starts for each kind, so that an outage causes no retry
/// storm. A small burst is allowed so that a quiet kind can retry at all.
class retry_budget
{
public:
    void set_percent(std::uint32_t percent);

    void count_start(const std::string& kind);

    /// Uses one retry of the budget of \p kind; false when none is left.
    [[nodiscard]] bool try_consume(const std::string& kind);

private:
    std::uint32_t percent_ = 10;                         ///< of first starts
    absl::flat_hash_map<std::string, double> remaining_; ///< retries left for each kind
};

} // namespace savoryreach::entry

#endif
