#include "savoryreach/daemon/descriptor_budget.hpp"

#include "savoryreach/daemon/logger.hpp"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <string>
#include <sys/resource.h>
#include <system_error>

namespace savoryreach::daemon
{
namespace
{

/// What the platform gives the smallest process; a limit above it, or an unknown one, is not relied
/// on.
constexpr std::uint64_t most_descriptors = 3072;
/// Part of the descriptors for callers where the reserve does not fit.
constexpr std::uint64_t least_caller_part = 4;

} // namespace

std::size_t max_caller_connections(std::uint64_t descriptors)
{
    const auto usable = std::min(descriptors, most_descriptors);
    const auto least = usable / least_caller_part;
    return usable > descriptor_reserve::total + least ? usable - descriptor_reserve::total : least;
}

std::uint64_t descriptor_limit()
{
    rlimit limit = {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    {
        static bool logged = false;
        if (!logged)
        {
            logged = true;
            log(log_level::warning, "descriptor_limit_unknown",
                {{"reason", std::system_category().message(errno)}});
        }
        return most_descriptors;
    }
    return limit.rlim_cur;
}

void write_descriptor_metrics(observe::metrics& out)
{
    out.gauge_of("savoryreach_descriptors_limit", "descriptors that this process may have") =
        static_cast<double>(descriptor_limit());
    std::error_code ec;
    const std::filesystem::directory_iterator all("/proc/self/fd", ec);
    if (ec)
    {
        log(log_level::warning, "descriptors_not_counted", {{"reason", ec.message()}});
        return;
    }
    out.gauge_of("savoryreach_descriptors", "descriptors in use") =
        static_cast<double>(std::distance(begin(all), end(all)));
}

} // namespace savoryreach::daemon
