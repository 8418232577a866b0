#ifndef SAVORYREACH_TESTS_SOAK_LOAD_HPP
#define SAVORYREACH_TESTS_SOAK_LOAD_HPP

#include "platform/json.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace savoryreach::soak
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// What endpoints, processes and clients of the soak agree on.
inline constexpr int control_port = 8166;
inline constexpr int endpoint_port = 9000;
inline constexpr int endpoint_cpu_milli = 8000;
inline constexpr int task_cpu_milli = 1000;
inline constexpr int task_ms = 60;
inline constexpr std::int64_t longest_lease_ms = 1000;

/// A body that a process of the product has sent; empty when it is not readable.
inline Json::Value read_body(const std::string& text)
{
    std::string why;
    return platform::parse_object(text, why).value_or(Json::Value(Json::objectValue));
}

} // namespace savoryreach::soak

#endif
