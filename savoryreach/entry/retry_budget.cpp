#include "savoryreach/entry/retry_budget.hpp"

#include <algorithm>

namespace savoryreach::entry
{
namespace
{

/// Retries that a kind may make before its first starts are counted.
constexpr double initial_retries = 10;
/// Bound on accumulated retries; covers the tasks in flight on the endpoints of a failed rack.
constexpr double max_saved_retries = 1000;

} // namespace

void retry_budget::set_percent(std::uint32_t percent)
{
    percent_ = percent;
}

void retry_budget::count_start(const std::string& kind)
{
    double& remaining = remaining_.try_emplace(kind, initial_retries).first->second;
    remaining = std::min(max_saved_retries, remaining + percent_ / 100.0);
}

bool retry_budget::try_consume(const std::string& kind)
{
    if (percent_ == 0)
    {
        return false;
    }
    double& remaining = remaining_.try_emplace(kind, initial_retries).first->second;
    if (remaining < 1)
    {
        return false;
    }
    remaining -= 1;
    return true;
}

} // namespace savoryreach::entry
