#ifndef SAVORYREACH_ENTRY_ENTRY_CONTEXT_HPP
#define SAVORYREACH_ENTRY_ENTRY_CONTEXT_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "schema/generated/settings.pb.h"

#include <utility>

namespace savoryreach::entry
{

/// State shared by the components of one entry core.
struct entry_context
{
    entry_context(schema::entry_settings process_settings, entry_ports process_ports)
        : settings(std::move(process_settings)), ports(process_ports),
          self(settings.common().name())
    {
    }

    [[nodiscard]] absl::Time now() const { return ports.clock.now(); }

    void send(const base::node_name& to, schema::envelope message)
    {
        ++counters.frames_sent;
        ports.transport.send(to, std::move(message));
    }

    const schema::entry_settings settings;
    entry_ports ports; ///< clock, random numbers, network, callers and events
    const base::node_name self;
    entry_status counters; ///< only the counters; entry_core::status() fills in the gauges
};

} // namespace savoryreach::entry

#endif
