#ifndef SAVORYREACH_TESTS_SOAK_PROCESS_FAULTS_HPP
#define SAVORYREACH_TESTS_SOAK_PROCESS_FAULTS_HPP

#include <array>
#include <atomic>
#include <cstdint>

namespace savoryreach::soak
{

/// How a process reaches one other host.
enum class reach : std::uint32_t
{
    both,      ///< in both directions
    none,      ///< connections go silent and new ones are never established
    hears,     ///< what this process sends is lost
    is_heard,  ///< what the other host sends is lost
    last_value ///< for drawing one at random
};

/// Faults of network and clock that the soak imposes on one process. The soak and the library that
/// it preloads (network_faults.cpp) map the same file.
struct process_faults
{
    static constexpr std::size_t max_hosts = 256;

    /// By the last byte of the host's address.
    std::array<std::atomic<reach>, max_hosts> reaches = {};
    /// Added to the time of day.
    std::atomic<std::int64_t> clock_offset_ms = 0;
    /// Where connections to hosts out of reach go: an address, in network byte order, that answers
    /// nothing.
    std::atomic<std::uint32_t> silent_ip = 0;
    std::atomic<std::uint16_t> silent_port = 0;
};

inline constexpr const char* faults_variable = "SAVORYREACH_SOAK_FAULTS_FILE";

} // namespace savoryreach::soak

#endif
