#ifndef SAVORYREACH_PERFORMANCE_TEST_MEASURE_HPP
#define SAVORYREACH_PERFORMANCE_TEST_MEASURE_HPP

#include <ctime>
#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace savoryreach::capacity
{

/// Seconds of \p clock.
inline double seconds_of(clockid_t clock)
{
    timespec at{};
    clock_gettime(clock, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

/// Processor time of the calling thread, seconds.
inline double thread_seconds()
{
    return seconds_of(CLOCK_THREAD_CPUTIME_ID);
}

/// Processor time that one pair of thread_seconds() calls adds to what lies between them, seconds.
inline double clock_overhead()
{
    static const double overhead = []
    {
        constexpr int pairs = 100'000;
        double sum = 0;
        for (int n = 0; n < pairs; ++n)
        {
            const double begin = thread_seconds();
            sum += thread_seconds() - begin;
        }
        return sum / pairs;
    }();
    return overhead;
}

/// Bytes in use on the heap, allocator headers included.
inline double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// The value below which \p share of \p values lies.
inline double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * last);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace savoryreach::capacity

#endif
