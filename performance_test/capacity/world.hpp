#ifndef SAVORYREACH_PERFORMANCE_TEST_WORLD_HPP
#define SAVORYREACH_PERFORMANCE_TEST_WORLD_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/net/transport.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace savoryreach::capacity
{

/// What one node has used. Bytes are those of the frames that the TCP transport would send.
struct usage
{
    double core_s = 0; ///< processor time inside the core
    double wire_s = 0; ///< processor time to encode what was sent and decode what was received
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in = 0;

    usage& operator+=(const usage& other);
    friend usage operator-(const usage& a, const usage& b);
};

/// One process in the world.
struct world_node
{
    using handler = std::function<void(const base::node_name& from, const schema::envelope& it)>;

    base::node_name name;
    handler receive;
    std::function<void()> tick;
    usage used;
    absl::Time tick_at;                          ///< next periodic tick
    absl::Time wake_at = absl::InfiniteFuture(); ///< an earlier tick, cleared when it is made
    std::deque<std::pair<base::node_name, schema::envelope>> inbox; ///< due in this step
    std::unique_ptr<net::transport> transport;
};

/// Runs cores on virtual time over a lossless network with a constant delay. As in the daemons, a
/// core ticks every 5 ms and after each batch of messages.
class world
{
public:
    /// \p receive or \p tick may be set later; the reference stays valid.
    world_node& add(const std::string& name);
    void run_for(absl::Duration time);
    /// Runs until \p done or the limit; false at the limit.
    bool run_until(const std::function<bool()>& done, absl::Duration limit);
    void send(const base::node_name& from, const base::node_name& to, schema::envelope message);

    [[nodiscard]] simulation::virtual_clock& clock() { return clock_; }

    static constexpr absl::Duration step = absl::Microseconds(500);
    static constexpr absl::Duration tick_interval = absl::Milliseconds(5);

private:
    struct in_flight
    {
        absl::Time due;
        base::node_name from;
        base::node_name to;
        schema::envelope message;
    };

    void deliver_due();
    void carry(in_flight item);
    void run_node(world_node& node);

    simulation::virtual_clock clock_;
    std::deque<std::unique_ptr<world_node>> nodes_;
    absl::flat_hash_map<std::string, world_node*> by_name_;
    std::deque<in_flight> queue_; ///< by due time, because the delay is constant
};

} // namespace savoryreach::capacity

#endif
