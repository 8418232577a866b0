#include "savoryreach/net/tcp_connection.hpp"

#include "savoryreach/base/system_clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace savoryreach::net
{
namespace
{

namespace asio = boost::asio;

/// A connection on which nothing arrives for this long is closed and replaced.
constexpr auto silence_limit = absl::Seconds(2);
/// Four heartbeats fit into the silence limit, so that one late heartbeat does not close a
/// connection.
constexpr auto ping_interval = absl::Milliseconds(500);

} // namespace

tcp_connection::tcp_connection(asio::ip::tcp::socket socket, tcp_connection_listener& listener,
                               schema::hello own_hello)
    : socket_(std::move(socket)), listener_(listener), own_hello_(std::move(own_hello)),
      silent_deadline_(base::steady_now() + silence_limit),
      ping_at_(base::steady_now() + ping_interval)
{
    schema::envelope first;
    *first.mutable_hello() = own_hello_;
    append_frame(queued_, first);
}

void tcp_connection::start_accepted()
{
    connected_ = true;
    boost::system::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    write_queued();
    read_some();
}

void tcp_connection::start_dialing(const asio::ip::tcp::endpoint& endpoint)
{
    socket_.async_connect(endpoint,
                          [self = shared_from_this()](const boost::system::error_code& ec)
                          {
                              if (ec)
                              {
                                  self->close(ec.message());
                              }
                              else if (!self->closed_)
                              {
                                  self->start_accepted();
                              }
                          });
}

void tcp_connection::send(const schema::envelope& message)
{
    if (closed_ || queued_.size() > max_queued_bytes)
    {
        return;
    }
    append_frame(queued_, message);
    write_queued();
}

void tcp_connection::check_liveness(absl::Time now)
{
    if (closed_)
    {
        return;
    }
    if (now >= silent_deadline_)
    {
        close("nothing received within the silence limit");
        return;
    }
    if (is_established() && now >= ping_at_)
    {
        ping_at_ = now + ping_interval;
        schema::envelope message;
        message.mutable_ping();
        send(message);
    }
}

void tcp_connection::close(const std::string& reason)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    boost::system::error_code ec;
    socket_.close(ec);
    listener_.connection_closed(*this, reason);
}

void tcp_connection::read_some()
{
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n)
        {
            if (ec)
            {
                self->close(ec.message());
            }
            else if (!self->closed_)
            {
                self->handle_bytes(n);
            }
        });
}

void tcp_connection::handle_bytes(std::size_t n)
{
    silent_deadline_ = base::steady_now() + silence_limit;
    decoder_.feed({read_buffer_.data(), n});
    std::vector<schema::envelope> messages;
    while (auto message = decoder_.next())
    {
        if (!handle_control(*message))
        {
            messages.push_back(std::move(*message));
        }
        if (closed_)
        {
            return;
        }
    }
    if (!messages.empty())
    {
        listener_.messages_received(*this, std::move(messages));
    }
    if (decoder_.error())
    {
        close(decoder_.error()->text);
    }
    if (!closed_)
    {
        read_some();
    }
}

bool tcp_connection::handle_control(const schema::envelope& message)
{
    if (peer_.empty())
    {
        if (!message.has_hello())
        {
            close("first frame is not a hello");
            return true;
        }
        peer_ = base::node_name(message.hello().node());
        if (!listener_.hello_received(*this, message.hello()))
        {
            close("hello refused");
        }
        return true;
    }
    if (message.has_ping())
    {
        if (!message.ping().is_reply())
        {
            schema::envelope reply;
            reply.mutable_ping()->set_is_reply(true);
            send(reply);
        }
        return true;
    }
    return message.has_hello();
}

void tcp_connection::write_queued()
{
    if (!connected_ || write_in_progress_ || queued_.empty() || closed_)
    {
        return;
    }
    write_in_progress_ = true;
    writing_.clear();
    writing_.swap(queued_);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const boost::system::error_code& ec, std::size_t)
                      {
                          self->write_in_progress_ = false;
                          if (ec)
                          {
                              self->close(ec.message());
                          }
                          else
                          {
                              self->write_queued();
                          }
                      });
}

} // namespace savoryreach::net
