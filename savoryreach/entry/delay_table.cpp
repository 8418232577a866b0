#include "savoryreach/entry/delay_table.hpp"

namespace savoryreach::entry
{

std::optional<absl::Duration> delay_table::set(const std::string& data_centre, std::uint64_t number,
                                               absl::Duration round_trip)
{
    auto& it = data_centres_[data_centre];
    if (const auto known = it.round_trips.find(number); known != it.round_trips.end())
    {
        it.shortest.erase({known->second, number});
        it.round_trips.erase(known);
    }
    if (round_trip > absl::ZeroDuration())
    {
        it.round_trips[number] = round_trip;
        it.shortest.emplace(round_trip, number);
    }
    if (it.shortest.empty() || it.shortest.begin()->first / 2 == it.delay)
    {
        return std::nullopt;
    }
    it.delay = it.shortest.begin()->first / 2;
    return it.delay;
}

void delay_table::clear()
{
    data_centres_.clear();
}

} // namespace savoryreach::entry
