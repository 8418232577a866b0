#ifndef SAVORYREACH_DAEMON_MEMORY_SHARES_HPP
#define SAVORYREACH_DAEMON_MEMORY_SHARES_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace savoryreach::daemon
{

/// Bytes that the connections of each service may make the process keep. No service takes the share
/// of another one, so that floods of clients leave the operator and the links theirs.
struct memory_shares
{
    std::size_t clients = 0;
    std::size_t control = 0;
    std::size_t links = 0;
    std::size_t readiness = 1024UL * 1024;
    std::size_t metrics = 1024UL * 1024;
    std::size_t json_items =
        0; ///< of one JSON text while it is decoded; see base::limit_json_items

    /// \p limit_bytes of the process; 0 if not known, for which the smallest one of the platform is
    /// assumed.
    [[nodiscard]] static memory_shares of(std::uint64_t limit_bytes)
    {
        constexpr std::uint64_t smallest_process = 120UL * 1024 * 1024;
        constexpr std::uint64_t parts = 6;
        constexpr std::uint64_t link_parts = 4;
        /// One configuration of 4 MiB, read and decoded.
        constexpr std::size_t min_control = 12UL * 1024 * 1024;
        /// The state of the core after such a configuration, in one message.
        constexpr std::size_t min_links = 20UL * 1024 * 1024;
        /// Half of the memory, with the size of a decoded number.
        constexpr std::uint64_t bytes_of_json_item = 224;
        const auto limit = limit_bytes > 0 ? limit_bytes : smallest_process;
        memory_shares out;
        out.clients = limit / parts;
        out.control = std::max<std::size_t>(limit / parts, min_control);
        out.links = std::max<std::size_t>(limit / link_parts, min_links);
        out.json_items = limit / bytes_of_json_item;
        return out;
    }

    friend bool operator==(const memory_shares&, const memory_shares&) = default;
};

} // namespace savoryreach::daemon

#endif
