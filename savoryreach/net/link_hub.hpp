#ifndef SAVORYREACH_NET_LINK_HUB_HPP
#define SAVORYREACH_NET_LINK_HUB_HPP

#include "savoryreach/net/link.hpp"
#include "savoryreach/net/listener.hpp"
#include "savoryreach/net/transport.hpp"
#include "savoryreach/observe/hybrid_clock.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::net
{

/// A process with a link to this one.
struct link_peer
{
    std::string name;
    std::string address; ///< listening address; empty if it does not listen
    bool can_store = false;

    friend bool operator==(const link_peer&, const link_peer&) = default;
};

/// Manages the links of a process to its peers on one event loop. Keeps a link to each wanted
/// address, reconnects after a loss, and replaces links on which nothing arrives.
class link_hub final : public transport
{
public:
    struct options
    {
        std::string name;       ///< name of this process, unique during its lifetime
        std::string role;       ///< "front", "agent"
        std::string address;    ///< listening address, "ip:port"; empty for none
        std::string local_ip;   ///< source address of outgoing connections
        bool can_store = false; ///< sent to the peers in the hello
        /// Of the incomplete messages on accepted links.
        std::size_t memory_bytes = 32UL * 1024 * 1024;
    };

    struct callbacks
    {
        /// The first link to a peer is up, or the process of the peer was replaced by another one.
        std::function<void(const link_peer&)> up;
        std::function<void(const link_peer&, const schema::envelope&)> received;
        /// The last link to a peer is closed.
        std::function<void(const link_peer&, const std::string& reason)> down;
        /// Links can't be accepted for this reason; empty when they are accepted again.
        std::function<void(const std::string& reason)> accept_failing = [](const std::string&) {
        };
        /// An accepted link is closed for what it sent or did not send.
        std::function<void(const std::string& cause, const std::string& from)> rejected =
            [](const std::string&, const std::string&) {
            };
    };

    /// \p hybrid timestamps each outgoing message and advances with incoming timestamps.
    link_hub(boost::asio::io_context& io, options config, callbacks handlers,
             const base::clock& clock, observe::hybrid_clock& hybrid);

    /// Listens if an address is set; returns an error message, or nullopt on success.
    [[nodiscard]] std::optional<std::string> start();
    /// Closes silent links, sends heartbeats and dials addresses without a link. Must be called at
    /// least every `heartbeat_interval_ms`.
    void tick();
    void stop();

    void send(const base::node_name& to, schema::envelope message) override;
    void learn_address(const base::node_name& peer, const std::string& address) override;

    /// Sets the addresses to keep outgoing links to; closes the outgoing links to all others.
    void want(const std::vector<std::string>& addresses);
    [[nodiscard]] bool is_linked(const std::string& peer) const;
    /// When the linked process \p peer was last heard; infinite past if it is not linked.
    [[nodiscard]] absl::Time heard_at(const std::string& peer) const;
    /// Bytes that wait to be sent to \p peer.
    [[nodiscard]] std::size_t queued_bytes(const std::string& peer) const;
    [[nodiscard]] std::vector<link_peer> peers() const;
    void write_metrics(observe::metrics& out) const;
    [[nodiscard]] std::size_t kept_memory() const { return memory_.used(); }

    /// Interval of heartbeats on an idle link. Four intervals fit into the silence limit.
    static constexpr int heartbeat_interval_ms = 300;

private:
    using link_ptr = std::shared_ptr<link>;

    struct wanted_link
    {
        link_ptr connection;
        absl::Time dial_at;
    };

    void on_accepted(boost::asio::ip::tcp::socket socket);
    link::callbacks link_callbacks();
    void dial(const std::string& address, wanted_link& wanted);
    void send_hello(link& to);
    void on_received(link& from, const schema::envelope& message);
    void on_hello(link& from, const schema::hello& hello);
    void on_closed(link& closed_link);
    void close_all(const std::string& reason);
    /// Closes an accepted link to make room for others.
    void reject(link& it, const std::string& cause);
    /// Closes what exceeds the limits of accepted links, before a new one is added.
    [[nodiscard]] bool make_room();
    [[nodiscard]] bool on_keeps(link& it, std::size_t bytes);
    [[nodiscard]] link_ptr find(const std::string& peer) const;

    boost::asio::io_context& io_;
    options options_;
    callbacks handlers_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    listener listener_;
    std::vector<link_ptr> links_;                      ///< links that are not closed
    absl::btree_map<std::string, wanted_link> wanted_; ///< by address
    absl::flat_hash_map<std::string, std::vector<link_ptr>> links_by_peer_; ///< newest last
    memory_budget memory_;
    absl::Time last_tick_at_; ///< time of the last tick, to detect a suspension
    std::uint64_t incarnation_ = 0;
};

} // namespace savoryreach::net

#endif
