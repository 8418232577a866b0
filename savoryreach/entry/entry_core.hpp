#ifndef SAVORYREACH_ENTRY_ENTRY_CORE_HPP
#define SAVORYREACH_ENTRY_ENTRY_CORE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/node_name.hpp"
#include "savoryreach/base/random_source.hpp"
#include "savoryreach/entry/caller_port.hpp"
#include "savoryreach/net/transport.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "schema/generated/settings.pb.h"
#include "schema/generated/wire.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace savoryreach::entry
{

/// The interfaces through which an entry core reaches its environment. All must outlive the core.
struct entry_ports
{
    const base::clock& clock;
    base::random_source& random;
    net::transport& transport;
    caller_port& callers;
    observe::event_sink& events;
};

/// Counters and gauges of an entry for /metrics and savoryctl.
struct entry_status
{
    std::uint64_t epoch = 0;
    std::uint64_t config_revision = 0;
    std::size_t jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t agents = 0;
    std::uint64_t submissions = 0;
    std::uint64_t joined = 0; ///< duplicate submissions attached to a known job
    std::uint64_t refused = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t starts = 0;
    std::uint64_t retries = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
};

/// All decisions of an entry process: membership lease, routing to the home, claims, admission,
/// queueing, placement, dispatch, retries, answers and recovery of the jobs of failed entries. No
/// I/O; runs on one thread.
class entry_core
{
public:
    entry_core(const schema::entry_settings& settings, entry_ports ports);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// Accepts a caller's validated job. When \p wait is false the answer may have the state
    /// `running`. The answer comes through caller_port no later than \p answer_by.
    void submit(std::uint64_t request_id, schema::submission submission, bool wait,
                absl::Time answer_by);
    /// Answers with the state or answer of a submission, `not_found` when no entry knows it.
    void lookup(std::uint64_t request_id, const std::string& submission_id);
    /// Cancels a job. The answer contains its state after the cancellation.
    void cancel(std::uint64_t request_id, const std::string& submission_id);
    /// The caller's connection is closed. The job continues.
    void caller_disconnected(std::uint64_t request_id);

    void receive(const base::node_name& from, const schema::envelope& message);
    /// Called every few milliseconds and after each batch of messages.
    void tick();

    /// Stops accepting new jobs. Jobs in flight are completed.
    void begin_drain();
    /// True when no job is in flight and the entry has left the membership.
    [[nodiscard]] bool is_drained() const;
    /// True when the process can accept jobs: valid lease, configuration, not draining.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] entry_status status() const;
    /// One line per known agent, team or job, for savoryctl; \p subject is "agents", "teams" or
    /// "jobs". Each line is key=value pairs.
    [[nodiscard]] std::string describe(const std::string& subject) const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< job table, queues, sessions and clients
};

} // namespace savoryreach::entry

#endif
