#ifndef SAVORYREACH_ENTRY_DELAY_TABLE_HPP
#define SAVORYREACH_ENTRY_DELAY_TABLE_HPP

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace savoryreach::entry
{

/// The one-way delay to each data centre: half of the shortest round trip that its agents report.
/// Hosts of a data centre have the same distance, and load only lengthens a round trip. Not
/// thread-safe.
class delay_table
{
public:
    /// Sets the round trip of agent \p number; zero removes it. Returns the delay to the data
    /// centre when it has changed.
    std::optional<absl::Duration> set(const std::string& data_centre, std::uint64_t number,
                                      absl::Duration round_trip);
    void clear();

private:
    struct data_centre_delay
    {
        absl::flat_hash_map<std::uint64_t, absl::Duration> round_trips;     ///< by agent
        absl::btree_set<std::pair<absl::Duration, std::uint64_t>> shortest; ///< the same, in order
        absl::Duration delay;                                               ///< last returned
    };

    absl::flat_hash_map<std::string, data_centre_delay> data_centres_; ///< by name
};

} // namespace savoryreach::entry

#endif
