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

/// The interfaces that an agent core acts through; all outlive the core.
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

/// All decisions of an agent process: registration, sessions and leases, credits, the start of each
/// task at most once, results until they are released, fences. No I/O; runs on one thread.
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
    /// A run that was given to the endpoint port has ended.
    void run_ended(std::uint64_t run_id, const run_outcome& outcome);

    /// Refuses new starts; what runs is finished and its results are handed over.
    void begin_drain();
    /// True when nothing runs, all results are acknowledged and the incarnation has left.
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
