#ifndef SAVORYREACH_ENTRY_ENTRY_CONTEXT_HPP
#define SAVORYREACH_ENTRY_ENTRY_CONTEXT_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/entry/entry_core.hpp"
#include "schema/generated/settings.pb.h"

#include <utility>

namespace savoryreach::entry
{

/// What the parts of one entry core share.
struct entry_context
{
    entry_context(schema::entry_settings of, entry_ports through)
        : settings(std::move(of)), ports(through), self(settings.common().name())
    {
    }

    [[nodiscard]] absl::Time now() const { return ports.clock.now(); }

    void send(const base::node_name& to, schema::envelope message)
    {
        ++counters.frames_sent;
        ports.transport.send(to, std::move(message));
    }

    const schema::entry_settings settings; ///< of this process
    entry_ports ports;                     ///< time, network, callers and events
    const base::node_name self;            ///< name of this entry
    entry_status counters; ///< the counting fields only; gauges are filled on demand
};

} // namespace savoryreach::entry

#endif
