#ifndef SAVORYREACH_NET_LINK_HPP
#define SAVORYREACH_NET_LINK_HPP

#include "savoryreach/base/clock.hpp"
#include "savoryreach/net/frame.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::net
{

/// One TCP connection that carries envelopes, on an event loop. Messages of one turn of the loop
/// leave in one write.
class link : public std::enable_shared_from_this<link>
{
public:
    struct callbacks
    {
        std::function<void(link&)> opened; ///< a dialled connection is established
        std::function<void(link&, const schema::envelope&)> received;
        std::function<void(link&)> closed; ///< called once
    };

    link(boost::asio::ip::tcp::socket socket, callbacks calls, const base::clock& clock);
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Connects to \p to; `opened` or `closed` follows.
    void dial(const boost::asio::ip::tcp::endpoint& to);
    /// Starts to read on an accepted connection.
    void start();
    void send(const schema::envelope& message);
    void close(const std::string& why);

    [[nodiscard]] bool is_open() const { return open_; }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] const std::string& close_reason() const { return close_reason_; }
    [[nodiscard]] absl::Time created_at() const { return created_at_; }
    [[nodiscard]] absl::Time heard_at() const { return heard_at_; }
    [[nodiscard]] absl::Time sent_at() const { return sent_at_; }

    std::string peer;            ///< name of the other process; empty until its hello
    std::string address;         ///< dialled address; empty for an accepted connection
    std::string announced;       ///< where the peer listens by its hello
    bool peer_can_store = false; ///< by its hello

private:
    void read();
    void flush();

    boost::asio::ip::tcp::socket socket_;
    callbacks calls_;
    const base::clock& clock_;
    frame_decoder decoder_;
    std::array<char, 16384> chunk_ = {};
    std::string queued_;  ///< frames that are not being written yet
    std::string writing_; ///< frames under way
    bool flush_posted_ = false;
    bool open_ = false;
    bool closed_ = false;
    std::string close_reason_;
    absl::Time created_at_;
    absl::Time heard_at_;
    absl::Time sent_at_;
};

} // namespace savoryreach::net

#endif
