#ifndef SAVORYREACH_REVIEW_2_CLOCK_HPP
#define SAVORYREACH_REVIEW_2_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace review
{

/// The steady clock that all processes of a case share, in milliseconds.
inline double now_ms()
{
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace review

#endif
