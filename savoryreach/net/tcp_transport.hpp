#ifndef SAVORYREACH_NET_TCP_TRANSPORT_HPP
#define SAVORYREACH_NET_TCP_TRANSPORT_HPP

#include "savoryreach/base/error.hpp"
#include "savoryreach/net/listener.hpp"
#include "savoryreach/net/tcp_connection.hpp"
#include "savoryreach/net/transport.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace savoryreach::net
{

/// The hello that a process sends on each connection, and its listening address.
struct tcp_transport_options
{
    schema::hello hello;
    std::string listen; ///< "ip:port"; empty if this process accepts no connections
};

/// Counters of a transport.
struct tcp_transport_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0; ///< messages to peers that could not be dialled
    std::uint64_t refused = 0; ///< hellos of another cluster or protocol version
    std::uint64_t connections_closed = 0;
};

/// Transport over TCP. One I/O thread serialises, parses and moves bytes; connections are dialled
/// on demand and replaced when nothing arrives. Messages queued on a lost connection are lost;
/// the protocols above resend them.
class tcp_transport final : public transport, private tcp_connection_listener
{
public:
    using message_handler =
        std::function<void(const base::node_name& from, std::vector<schema::envelope> messages)>;
    using notice_handler = std::function<void(const std::string& event, const base::node_name& peer,
                                              const std::string& detail)>;

    /// Both handlers are called on the I/O thread.
    tcp_transport(tcp_transport_options options, message_handler on_messages,
                  notice_handler on_notice);
    ~tcp_transport() override;
    tcp_transport(const tcp_transport&) = delete;
    tcp_transport& operator=(const tcp_transport&) = delete;

    /// Listens and starts the I/O thread. Returns an error if the address can't be used.
    [[nodiscard]] std::optional<base::reason> start();
    /// Sends what is queued, then closes all connections and joins the I/O thread.
    void stop();

    void send(const base::node_name& to, schema::envelope message) override;
    void learn_address(const base::node_name& peer, const std::string& address) override;

    [[nodiscard]] tcp_transport_counts counts() const;

private:
    struct peer_state
    {
        std::optional<boost::asio::ip::tcp::endpoint> address; ///< unset if only the peer dials
        std::shared_ptr<tcp_connection> connection;            ///< connection to send on
        absl::Time dial_after = absl::InfinitePast();          ///< earliest time of the next dial
    };

    bool hello_received(tcp_connection& connection, const schema::hello& hello) override;
    void messages_received(tcp_connection& connection,
                           std::vector<schema::envelope> messages) override;
    void connection_closed(tcp_connection& connection, const std::string& reason) override;

    void on_accepted(boost::asio::ip::tcp::socket socket);
    void schedule_liveness_check();
    void send_outbox();
    void send_now(const base::node_name& to, const schema::envelope& message);
    void dial(peer_state& peer);

    tcp_transport_options options_;
    message_handler on_messages_;
    notice_handler on_notice_;
    boost::asio::io_context io_;
    listener listener_;
    boost::asio::steady_timer liveness_timer_;
    absl::flat_hash_map<base::node_name, peer_state> peers_;   ///< I/O thread only
    std::vector<std::shared_ptr<tcp_connection>> connections_; ///< I/O thread only
    std::mutex outbox_mutex_;                                  ///< guards outbox_
    std::vector<std::pair<base::node_name, schema::envelope>> outbox_;
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
    std::atomic<std::uint64_t> dropped_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<std::uint64_t> connections_closed_{0};
    std::thread thread_;
};

} // namespace savoryreach::net

#endif
