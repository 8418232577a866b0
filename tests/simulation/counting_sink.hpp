#ifndef SAVORYREACH_SIMULATION_COUNTING_SINK_HPP
#define SAVORYREACH_SIMULATION_COUNTING_SINK_HPP

#include "savoryreach/observe/event_sink.hpp"

#include <absl/container/btree_map.h>

#include <string>

namespace savoryreach::simulation
{

/// Counts events by kind.
class counting_sink final : public observe::event_sink
{
public:
    void record(std::string_view kind, std::initializer_list<observe::event_field>) override
    {
        ++counts_[std::string(kind)];
    }
    int count(const std::string& kind) { return counts_[kind]; }

private:
    absl::btree_map<std::string, int> counts_;
};

} // namespace savoryreach::simulation

#endif
