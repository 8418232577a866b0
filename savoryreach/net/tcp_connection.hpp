#ifndef SAVORYREACH_NET_TCP_CONNECTION_HPP
#define SAVORYREACH_NET_TCP_CONNECTION_HPP

#include "savoryreach/base/node_name.hpp"
#include "savoryreach/net/frame.hpp"

#include <absl/time/time.h>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::net
{

/// Receives the events of a connection. Called on the I/O thread.
class tcp_connection_listener
{
public:
    virtual ~tcp_connection_listener() = default;

    /// The peer's hello arrived. Returns false to close the connection.
    virtual bool hello_received(class tcp_connection& connection, const schema::hello& hello) = 0;
    virtual void messages_received(class tcp_connection& connection,
                                   std::vector<schema::envelope> messages) = 0;
    virtual void connection_closed(class tcp_connection& connection, const std::string& reason) = 0;
};

/// One TCP connection: frames in both directions, the hello first, then heartbeats. Used only on
/// the I/O thread; the owner keeps it in a shared_ptr.
class tcp_connection : public std::enable_shared_from_this<tcp_connection>
{
public:
    tcp_connection(boost::asio::ip::tcp::socket socket, tcp_connection_listener& listener,
                   schema::hello own_hello);

    /// Starts a connection that was accepted.
    void start_accepted();
    /// Connects to \p endpoint; frames sent before it is established are queued.
    void start_dialing(const boost::asio::ip::tcp::endpoint& endpoint);

    /// Queues a frame; drops it when more than max_queued_bytes are queued.
    void send(const schema::envelope& message);

    /// Sends a ping when one is due and closes the connection when it has been silent for too long.
    void check_liveness(absl::Time now);

    void close(const std::string& reason);

    [[nodiscard]] const base::node_name& peer() const { return peer_; }
    [[nodiscard]] bool is_open() const { return !closed_; }
    [[nodiscard]] bool is_established() const { return !closed_ && !peer_.empty(); }

    static constexpr std::size_t max_queued_bytes = 64UL * 1024 * 1024;

private:
    void read_some();
    void handle_bytes(std::size_t n);
    bool handle_control(const schema::envelope& message);
    void write_queued();

    boost::asio::ip::tcp::socket socket_;
    tcp_connection_listener& listener_;
    schema::hello own_hello_;
    base::node_name peer_; ///< empty until the peer's hello arrived
    frame_decoder decoder_;
    std::array<char, 64UL * 1024> read_buffer_{};
    std::string queued_;  ///< frames that wait for the write in progress
    std::string writing_; ///< frames of the write in progress
    bool connected_ = false;
    bool write_in_progress_ = false;
    bool closed_ = false;
    absl::Time silent_deadline_; ///< closes the connection if nothing arrives before
    absl::Time ping_at_;         ///< when the next heartbeat is due
};

} // namespace savoryreach::net

#endif
