#ifndef SAVORYREACH_AGENT_SESSION_DIRECTORY_HPP
#define SAVORYREACH_AGENT_SESSION_DIRECTORY_HPP

#include "schema/generated/wire.pb.h"

#include <cstdint>
#include <string>

namespace savoryreach::agent
{

/// The task runner's interface to the entry sessions.
class session_directory
{
public:
    virtual ~session_directory() = default;

    /// True when a task of \p epoch may start now: its session lease and the agent's registration
    /// are valid and the epoch is not fenced.
    [[nodiscard]] virtual bool may_start(std::uint64_t epoch) const = 0;

    /// Queues an item for the entry; drops it when the session is closed or unknown.
    virtual void push(std::uint64_t epoch, schema::session_item item) = 0;

    /// The name of the entry, for events; empty when unknown.
    [[nodiscard]] virtual std::string entry_of(std::uint64_t epoch) const = 0;
};

} // namespace savoryreach::agent

#endif
