#include "savoryreach/net/tcp_transport.hpp"

#include "savoryreach/net/address.hpp"

#include "savoryreach/base/system_clock.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <chrono>

namespace savoryreach::net
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto liveness_check_interval = std::chrono::milliseconds(100);
constexpr auto dial_backoff = absl::Milliseconds(100);
constexpr std::uint32_t protocol_version = 1;

} // namespace

tcp_transport::tcp_transport(tcp_transport_options options, message_handler on_messages,
                             notice_handler on_notice)
    : options_(std::move(options)), on_messages_(std::move(on_messages)),
      on_notice_(std::move(on_notice)),
      listener_(io_, {.accepted = [this](tcp::socket socket) { on_accepted(std::move(socket)); },
                      .failing =
                          [this](const std::string& reason)
                      {
                          on_notice_(reason.empty() ? "accept_recovered" : "accept_failed",
                                     base::node_name(), reason);
                      }}),
      liveness_timer_(io_)
{
    options_.hello.set_protocol_version(protocol_version);
}

tcp_transport::~tcp_transport()
{
    stop();
}

std::optional<base::reason> tcp_transport::start()
{
    if (!options_.listen.empty())
    {
        if (!parse_address(options_.listen))
        {
            return base::reason{base::error_kind::out_of_range,
                                absl::StrCat("not an ip:port: ", options_.listen)};
        }
        if (const auto error = listener_.listen(options_.listen))
        {
            return base::reason{base::error_kind::unreachable,
                                absl::StrCat("cannot listen on ", *error)};
        }
    }
    schedule_liveness_check();
    thread_ = std::thread([this] { io_.run(); });
    return std::nullopt;
}

void tcp_transport::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    asio::post(
        io_,
        [this]
        {
            send_outbox();
            listener_.close();
            liveness_timer_.cancel();
            // Allows 50 ms for writing the last frames to the sockets.
            auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(50));
            timer->async_wait([this, timer](const boost::system::error_code&) { io_.stop(); });
        });
    thread_.join();
}

void tcp_transport::send(const base::node_name& to, schema::envelope message)
{
    bool was_empty = false;
    {
        const std::lock_guard lock(outbox_mutex_);
        was_empty = outbox_.empty();
        outbox_.emplace_back(to, std::move(message));
    }
    if (was_empty)
    {
        asio::post(io_, [this] { send_outbox(); });
    }
}

void tcp_transport::learn_address(const base::node_name& peer, const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (endpoint)
    {
        asio::post(io_, [this, peer, endpoint] { peers_[peer].address = endpoint; });
    }
}

tcp_transport_counts tcp_transport::counts() const
{
    return {sent_, received_, dropped_, refused_, connections_closed_};
}

void tcp_transport::on_accepted(tcp::socket socket)
{
    auto connection = std::make_shared<tcp_connection>(
        std::move(socket), static_cast<tcp_connection_listener&>(*this), options_.hello);
    connections_.push_back(connection);
    connection->start_accepted();
}

void tcp_transport::schedule_liveness_check()
{
    liveness_timer_.expires_after(liveness_check_interval);
    liveness_timer_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (ec)
            {
                return;
            }
            const auto now = base::steady_now();
            // Iterates by index, because check_liveness can close connections and call back.
            for (std::size_t n = 0; n < connections_.size(); ++n)
            {
                const auto connection = connections_[n];
                connection->check_liveness(now);
            }
            std::erase_if(connections_, [](const auto& it) { return !it->is_open(); });
            schedule_liveness_check();
        });
}

void tcp_transport::send_outbox()
{
    std::vector<std::pair<base::node_name, schema::envelope>> batch;
    {
        const std::lock_guard lock(outbox_mutex_);
        batch.swap(outbox_);
    }
    for (const auto& [to, message] : batch)
    {
        send_now(to, message);
    }
}

void tcp_transport::send_now(const base::node_name& to, const schema::envelope& message)
{
    auto& peer = peers_[to];
    if (!peer.connection || !peer.connection->is_open())
    {
        dial(peer);
    }
    if (!peer.connection)
    {
        ++dropped_;
        return;
    }
    ++sent_;
    peer.connection->send(message);
}

void tcp_transport::dial(peer_state& peer)
{
    peer.connection.reset();
    const auto now = base::steady_now();
    if (!peer.address || now < peer.dial_after)
    {
        return;
    }
    peer.dial_after = now + dial_backoff;
    auto connection = std::make_shared<tcp_connection>(
        tcp::socket(io_), static_cast<tcp_connection_listener&>(*this), options_.hello);
    peer.connection = connection;
    connections_.push_back(connection);
    connection->start_dialing(*peer.address);
}

bool tcp_transport::hello_received(tcp_connection& connection, const schema::hello& hello)
{
    if (hello.cluster() != options_.hello.cluster() ||
        hello.protocol_version() != options_.hello.protocol_version())
    {
        ++refused_;
        on_notice_("hello_refused", connection.peer(),
                   absl::StrCat("cluster=", hello.cluster(),
                                " protocol_version=", hello.protocol_version(),
                                " expected cluster=", options_.hello.cluster(),
                                " protocol_version=", options_.hello.protocol_version()));
        return false;
    }
    auto& peer = peers_[connection.peer()];
    if (!peer.connection || !peer.connection->is_established())
    {
        peer.connection = connection.shared_from_this();
    }
    on_notice_("connected", connection.peer(), hello.role());
    return true;
}

void tcp_transport::messages_received(tcp_connection& connection,
                                      std::vector<schema::envelope> messages)
{
    received_ += messages.size();
    // Replies use the connection that received data last, as it is the most likely to work.
    peers_[connection.peer()].connection = connection.shared_from_this();
    on_messages_(connection.peer(), std::move(messages));
}

void tcp_transport::connection_closed(tcp_connection& connection, const std::string& reason)
{
    ++connections_closed_;
    on_notice_("disconnected", connection.peer(), reason);
    const auto it = peers_.find(connection.peer());
    if (it != peers_.end() && it->second.connection.get() == &connection)
    {
        it->second.connection.reset();
    }
}

} // namespace savoryreach::net
