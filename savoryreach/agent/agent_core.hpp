#ifndef SAVORYREACH_AGENT_AGENT_CORE_HPP
#define SAVORYREACH_AGENT_AGENT_CORE_HPP

#include "savoryreach/agent/endpoint_port.hpp"
#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/node_name.hpp"
#include "savoryreach/base/random_source.hpp"
#include "savoryreach/net/transport.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "schema/generated/settings.pb.h"
#include "schema/generated/wire.pb.h"

#include <cstdint>
#include <memory>

namespace savoryreach::agent
{

/// The interfaces that an agent core depends on; all must outlive the core.
struct agent_ports
{
    const base::clock& clock;
    base::random_source& random;
    net::transport& transport;
    endpoint_port& endpoint;
    observe::event_sink& events;
};

/// Counters and gauges of an agent for /metrics and savoryctl.
struct agent_status
{
    std::uint64_t incarnation = 0;
    std::uint64_t config_revision = 0;
    std::size_t sessions = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t start_records = 0;
    std::size_t result_bytes = 0;
    std::uint64_t starts = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
};

/// The logic of an agent process: registration, sessions and their leases, credits, at-most-once
/// starts of tasks, retention of results until their release, and epoch fences. Does no I/O itself;
/// runs on one thread.
class agent_core
{
public:
    agent_core(const schema::agent_settings& settings, agent_ports ports);
    ~agent_core();
    agent_core(const agent_core&) = delete;
    agent_core& operator=(const agent_core&) = delete;

    void receive(const base::node_name& from, const schema::envelope& message);
    /// Called every few milliseconds and after each batch of messages.
    void tick();
    /// Reports the end of a run that was passed to endpoint_port::run().
    void run_ended(std::uint64_t run_id, const run_outcome& outcome);

    /// Refuses new starts; running tasks finish and their results are delivered to the entries.
    void begin_drain();
    /// True when no task runs and the agent has deregistered, which it does once the results have
    /// been acknowledged or their sessions have been given up.
    [[nodiscard]] bool is_drained() const;
    /// True when registered and at least one session is open.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] agent_status status() const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< sessions, slots, start records and results
};

} // namespace savoryreach::agent

#endif
