#ifndef SAVORYREACH_SIMULATION_FAKE_NETWORK_HPP
#define SAVORYREACH_SIMULATION_FAKE_NETWORK_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/base/random_source.hpp"
#include "savoryreach/net/transport.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace savoryreach::simulation
{

/// How the fake network treats messages; probabilities are 0 to 1.
struct network_faults
{
    double loss = 0;
    double duplication = 0;
    absl::Duration min_delay = absl::Microseconds(200);
    absl::Duration max_delay = absl::Microseconds(400);
    double long_delay = 0; ///< probability that a message is delayed by up to max_long_delay
    absl::Duration max_long_delay = absl::Milliseconds(500);
};

/// A seeded network on virtual time. Messages may be lost, duplicated, delayed and reordered, and
/// directed links can be cut. Deliveries at equal times happen in the order of sending.
class fake_network
{
public:
    using handler =
        std::function<void(const base::node_name& from, const schema::envelope& message)>;

    fake_network(virtual_clock& clock, base::random_source& random) : clock_(clock), random_(random)
    {
    }

    /// Registers a node; messages to it go to \p deliver. A node registered anew replaces the old.
    void attach(const base::node_name& node, handler deliver);
    /// Messages to and from the node are dropped from now on, those in flight included.
    void detach(const base::node_name& node);
    /// The transport through which \p node sends; valid while the network lives.
    [[nodiscard]] std::unique_ptr<net::transport> transport_of(const base::node_name& node);

    network_faults& faults() { return faults_; }
    /// Cuts or mends the directed link; messages are dropped silently while it is cut.
    void cut(const base::node_name& from, const base::node_name& to);
    void mend(const base::node_name& from, const base::node_name& to);
    /// Cuts both directions between \p node and everyone, or mends them.
    void isolate(const base::node_name& node);
    void rejoin(const base::node_name& node);
    void mend_all();

    void send(const base::node_name& from, const base::node_name& to, schema::envelope message);

    /// When the next message is due; InfiniteFuture when none is in flight.
    [[nodiscard]] absl::Time next_delivery() const;
    /// Delivers all messages that are due at the clock's time.
    void deliver_due();

    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    [[nodiscard]] std::uint64_t delivered() const { return delivered_; }

private:
    struct in_flight
    {
        base::node_name from;
        base::node_name to;
        schema::envelope message;
        std::uint64_t incarnation; ///< of the receiver's registration when sent
    };

    [[nodiscard]] bool is_cut(const base::node_name& from, const base::node_name& to) const;
    [[nodiscard]] absl::Duration draw_delay();
    void schedule(const in_flight& message);

    struct node_entry
    {
        handler deliver;
        std::uint64_t incarnation;
    };

    virtual_clock& clock_;
    base::random_source& random_;
    network_faults faults_;
    absl::btree_map<base::node_name, node_entry> nodes_;
    absl::btree_set<std::pair<base::node_name, base::node_name>> cuts_; ///< directed links
    absl::btree_set<base::node_name> isolated_;
    absl::btree_map<std::pair<absl::Time, std::uint64_t>, in_flight> queue_; ///< by time, sequence
    std::uint64_t sequence_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t delivered_ = 0;
};

} // namespace savoryreach::simulation

#endif
