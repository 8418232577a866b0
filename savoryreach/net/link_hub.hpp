#ifndef SAVORYREACH_NET_LINK_HUB_HPP
#define SAVORYREACH_NET_LINK_HUB_HPP

#include "savoryreach/net/link.hpp"
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

/// A process that is linked to this one.
struct link_peer
{
    std::string name;
    std::string address; ///< where it listens; empty when it does not
    bool can_store = false;

    friend bool operator==(const link_peer&, const link_peer&) = default;
};

/// The links of a process to others, all on one event loop. Keeps a link to each wanted address,
/// dials again after a loss, and replaces links that have gone silent.
class link_hub final : public transport
{
public:
    struct options
    {
        std::string name;       ///< of this process, unique for its lifetime
        std::string role;       ///< "front", "agent"
        std::string address;    ///< where it listens, "ip:port"; empty for none
        std::string local_ip;   ///< source of its connections
        bool can_store = false; ///< announced to the peers
    };

    struct callbacks
    {
        /// The first link to a peer is up, or its process is another one than before.
        std::function<void(const link_peer&)> up;
        std::function<void(const link_peer&, const schema::envelope&)> received;
        /// The last link to a peer is gone.
        std::function<void(const link_peer&, const std::string& why)> down;
    };

    /// \p hybrid stamps each message that is sent and takes in the stamps of those received.
    link_hub(boost::asio::io_context& io, options chosen, callbacks calls, const base::clock& clock,
             observe::hybrid_clock& hybrid);

    /// Listens if there is an address; an error in words, or nullopt.
    [[nodiscard]] std::optional<std::string> start();
    /// Closes silent links and dials what is missing; called every `beat_interval` or more often.
    void tick();
    void stop();

    void send(const base::node_name& to, schema::envelope message) override;
    void learn_address(const base::node_name& peer, const std::string& address) override;

    /// Keeps links to exactly these addresses, besides accepted ones.
    void want(const std::vector<std::string>& addresses);
    [[nodiscard]] bool is_linked(const std::string& peer) const;
    [[nodiscard]] std::vector<link_peer> peers() const;

    /// Interval of the beats on an idle link; milliseconds. Four fit into the silence limit.
    static constexpr int beat_interval_ms = 300;

private:
    using link_ptr = std::shared_ptr<link>;

    struct wanted
    {
        link_ptr connection;
        absl::Time dial_at;
    };

    void accept();
    link::callbacks link_callbacks();
    void dial(const std::string& address, wanted& entry);
    void send_hello(link& to);
    void on_received(link& from, const schema::envelope& message);
    void on_hello(link& from, const schema::hello& hello);
    void on_closed(link& gone);
    void close_all(const std::string& why);
    [[nodiscard]] link_ptr find(const std::string& peer) const;

    boost::asio::io_context& io_;
    options options_;
    callbacks calls_;
    const base::clock& clock_;
    observe::hybrid_clock& hybrid_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<link_ptr> links_;                                     ///< all that are not closed
    absl::btree_map<std::string, wanted> wanted_;                     ///< by address
    absl::flat_hash_map<std::string, std::vector<link_ptr>> by_peer_; ///< newest last
    absl::Time ticked_at_; ///< of the latest tick, to notice a suspension
    std::uint64_t incarnation_ = 0;
};

} // namespace savoryreach::net

#endif
