#ifndef SAVORYREACH_KEEPER_KEEPER_CORE_HPP
#define SAVORYREACH_KEEPER_KEEPER_CORE_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/base/node_name.hpp"
#include "savoryreach/base/random_source.hpp"
#include "savoryreach/keeper/log_storage.hpp"
#include "savoryreach/net/transport.hpp"
#include "savoryreach/observe/event_sink.hpp"
#include "schema/generated/settings.pb.h"
#include "schema/generated/wire.pb.h"

#include <cstdint>
#include <memory>
#include <string>

namespace savoryreach::keeper
{

/// The interfaces to clock, network, storage and events that a keeper core uses; all outlive it.
struct keeper_ports
{
    const base::clock& clock;
    base::random_source& random;
    net::transport& transport;
    log_storage& storage;
    observe::event_sink& events;
};

/// Counters and gauges of a keeper for /metrics and savoryctl.
struct keeper_status
{
    std::string role; ///< "leader", "follower", "candidate", "learner" or "failed"
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    std::uint64_t config_revision = 0;
    std::size_t claims = 0;
    std::size_t entries = 0;
    std::size_t agents = 0;
    absl::Time quorum_contact;         ///< only of a leader
    absl::Time earlier_quorum_contact; ///< only of a leader: by earlier leaders, at the latest
};

/// The logic of a keeper process: the replicated log, the ledger built from it, entry leases, agent
/// registrations and the distribution of cluster views. Does no I/O itself; runs on one thread.
class keeper_core
{
public:
    keeper_core(const schema::keeper_settings& settings, stored_state stored, keeper_ports ports);
    ~keeper_core();
    keeper_core(const keeper_core&) = delete;
    keeper_core& operator=(const keeper_core&) = delete;

    void receive(const base::node_name& from, const schema::envelope& message);
    /// Called every few milliseconds and after each batch of messages.
    void tick();
    /// Called when all storage writes up to and including \p ticket are durable.
    void persisted(std::uint64_t ticket);
    /// Called when a storage write failed: the keeper stops voting, leading and acknowledging.
    void storage_failed(const std::string& reason);
    /// Called when the failed storage is open again and holds \p stored: the keeper continues as
    /// after a restart.
    void storage_reopened(stored_state stored);

    /// Transfers leadership and rejects further requests.
    void begin_drain();
    [[nodiscard]] bool is_drained() const;
    /// True when this keeper is a leader with a valid lease or has recent contact to a leader.
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] keeper_status status() const;
    /// Hash of the replicated state, equal on all keepers that have applied the same index.
    [[nodiscard]] std::uint64_t state_hash() const;

private:
    struct state;
    schema::keeper_settings settings_;
    keeper_ports ports_;
    std::unique_ptr<state> state_; ///< replicated log, ledger and leases
    bool draining_ = false;
};

} // namespace savoryreach::keeper

#endif
