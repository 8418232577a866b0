#ifndef SAVORYREACH_NET_LINK_HPP
#define SAVORYREACH_NET_LINK_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/net/frame.hpp"
#include "savoryreach/net/memory_budget.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::net
{

/// One TCP connection that carries envelopes, on an event loop. Messages that are sent in one
/// iteration of the loop are written together.
class link : public std::enable_shared_from_this<link>
{
public:
    struct callbacks
    {
        std::function<void(link&)> opened; ///< an outgoing connection is established
        std::function<void(link&, const schema::envelope&)> received;
        std::function<void(link&)> closed; ///< called exactly once
        /// Asks for memory of received bytes, which are not a whole message yet, before they are
        /// stored. Without a grant the link is closed.
        std::function<bool(link&, std::size_t bytes)> keeps = [](link&, std::size_t)
        {
            return true;
        };
    };

    link(boost::asio::ip::tcp::socket socket, callbacks handlers, const base::clock& clock);
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Connects to \p to; calls `opened` or `closed` afterwards.
    void dial(const boost::asio::ip::tcp::endpoint& to);
    /// Starts reading from an accepted connection.
    void start();
    void send(const schema::envelope& message);
    /// Longer messages from the peer close the link.
    void limit_frames(std::size_t bytes) { decoder_.limit_frames(bytes); }
    void close(const std::string& reason);

    [[nodiscard]] bool is_open() const { return open_; }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] const std::string& close_reason() const { return close_reason_; }
    [[nodiscard]] absl::Time created_at() const { return created_at_; }
    [[nodiscard]] absl::Time heard_at() const { return heard_at_; }
    [[nodiscard]] absl::Time sent_at() const { return sent_at_; }
    /// When the write in progress began; infinite future without one.
    [[nodiscard]] absl::Time writing_since() const { return writing_since_; }
    [[nodiscard]] std::string remote_ip() const;
    [[nodiscard]] std::size_t queued_bytes() const { return queued_.size() + writing_.size(); }

    std::string peer;             ///< name of the other process; empty until its hello
    std::string address;          ///< remote address of an outgoing connection; empty if accepted
    std::string peer_address;     ///< listening address from the hello of the peer
    bool peer_can_store = false;  ///< from the hello of the peer
    memory_budget::id charge = 0; ///< of received bytes

private:
    void read();
    void flush();

    boost::asio::ip::tcp::socket socket_;
    callbacks handlers_;
    const base::clock& clock_;
    frame_decoder decoder_;
    std::array<char, 16384> read_buffer_ = {};
    std::string queued_;  ///< frames that wait for the write in progress
    std::string writing_; ///< frames of the write in progress
    bool flush_posted_ = false;
    bool open_ = false;
    bool closed_ = false;
    std::string close_reason_;
    absl::Time created_at_;
    absl::Time heard_at_;
    absl::Time sent_at_;
    absl::Time writing_since_ = absl::InfiniteFuture();
    std::size_t granted_bytes_ = 0; ///< of the decoder
};

} // namespace savoryreach::net

#endif
