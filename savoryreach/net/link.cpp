#include "savoryreach/net/link.hpp"

#include <absl/strings/str_cat.h>

namespace savoryreach::net
{
namespace
{

/// Limit of the send queue; a peer that reads too slowly to stay below it is disconnected. A
/// snapshot of the core's state and the orders of one second fit.
constexpr std::size_t max_queued_bytes = 16UL * 1024 * 1024;

} // namespace

link::link(boost::asio::ip::tcp::socket socket, callbacks handlers, const base::clock& clock)
    : socket_(std::move(socket)), handlers_(std::move(handlers)), clock_(clock),
      created_at_(clock.now()), heard_at_(created_at_), sent_at_(created_at_)
{
}

void link::dial(const boost::asio::ip::tcp::endpoint& to)
{
    socket_.async_connect(to,
                          [self = shared_from_this()](const boost::system::error_code& ec)
                          {
                              if (self->closed_)
                              {
                                  return;
                              }
                              if (ec)
                              {
                                  self->close(ec.message());
                                  return;
                              }
                              self->start();
                              self->handlers_.opened(*self);
                          });
}

void link::start()
{
    boost::system::error_code ec;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    open_ = true;
    heard_at_ = clock_.now();
    read();
    flush();
}

void link::read()
{
    socket_.async_read_some(
        boost::asio::buffer(read_buffer_),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n)
        {
            if (self->closed_)
            {
                return;
            }
            if (ec)
            {
                self->close(ec.message());
                return;
            }
            self->heard_at_ = self->clock_.now();
            const auto bytes = self->decoder_.capacity_with(n);
            if (bytes != self->granted_bytes_)
            {
                if (!self->handlers_.keeps(*self, bytes))
                {
                    self->close("links keep as much memory as they may");
                    return;
                }
                self->granted_bytes_ = bytes;
            }
            self->decoder_.feed({self->read_buffer_.data(), n});
            while (!self->closed_)
            {
                const auto message = self->decoder_.next();
                if (!message)
                {
                    break;
                }
                self->handlers_.received(*self, *message);
            }
            if (!self->closed_ && self->decoder_.error())
            {
                self->close(self->decoder_.error()->text);
            }
            if (!self->closed_)
            {
                self->read();
            }
        });
}

void link::send(const schema::envelope& message)
{
    if (closed_)
    {
        return;
    }
    const auto bytes = message.ByteSizeLong();
    if (bytes > max_frame_bytes)
    {
        close(absl::StrCat("message of ", bytes, " bytes exceeds ", max_frame_bytes));
        return;
    }
    // Without this message: one alone must never exceed the limit, or it would never be sent.
    if (queued_.size() > max_queued_bytes)
    {
        close("send queue is full: the peer reads too slowly");
        return;
    }
    append_frame(queued_, message);
    sent_at_ = clock_.now();
    if (!flush_posted_ && open_ && writing_.empty())
    {
        flush_posted_ = true;
        boost::asio::post(socket_.get_executor(),
                          [self = shared_from_this()]
                          {
                              self->flush_posted_ = false;
                              self->flush();
                          });
    }
}

void link::flush()
{
    if (closed_ || !open_ || !writing_.empty() || queued_.empty())
    {
        return;
    }
    writing_.swap(queued_);
    writing_since_ = clock_.now();
    boost::asio::async_write(
        socket_, boost::asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t)
        {
            self->writing_.clear();
            self->writing_since_ = absl::InfiniteFuture();
            if (ec)
            {
                self->close(ec.message());
                return;
            }
            self->flush();
        });
}

std::string link::remote_ip() const
{
    boost::system::error_code ec;
    const auto from = socket_.remote_endpoint(ec);
    return ec ? "unknown" : from.address().to_string();
}

void link::close(const std::string& reason)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    close_reason_ = reason;
    boost::system::error_code ec;
    socket_.close(ec);
    const auto self = shared_from_this();
    handlers_.closed(*self);
}

} // namespace savoryreach::net
