#include "savoryreach/daemon/http_pool.hpp"

#include "savoryreach/net/address.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>

namespace savoryreach::daemon
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

class http_pool::connection : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(http_pool& owner) : owner_(&owner), stream_(owner.io_) {}

    [[nodiscard]] bool is_idle() const { return !busy_ && !closed_; }
    [[nodiscard]] bool is_closed() const { return closed_; }

    /// Closes the connection without notifying the pool, which is being destroyed.
    void detach()
    {
        owner_ = nullptr;
        close();
    }

    void close()
    {
        closed_ = true;
        beast::error_code ec;
        stream_.socket().close(ec);
    }

    void run(queued_call call)
    {
        busy_ = true;
        current_ = std::move(call);
        stream_.expires_after(
            absl::ToChronoMilliseconds(current_.message.deadline - owner_->clock_.now()));
        if (connected_)
        {
            send();
            return;
        }
        const auto server = net::parse_address(owner_->address_);
        if (!server)
        {
            boost::asio::post(owner_->io_, [self = shared_from_this()] { self->fail(); });
            return;
        }
        beast::error_code ec;
        stream_.socket().open(server->protocol(), ec);
        if (!owner_->local_ip_.empty())
        {
            stream_.socket().bind({boost::asio::ip::make_address(owner_->local_ip_, ec), 0}, ec);
        }
        stream_.async_connect(*server,
                              [self = shared_from_this()](beast::error_code failed)
                              {
                                  if (failed || self->closed_)
                                  {
                                      self->fail();
                                      return;
                                  }
                                  beast::error_code ignored;
                                  self->stream_.socket().set_option(
                                      boost::asio::ip::tcp::no_delay(true), ignored);
                                  self->connected_ = true;
                                  self->send();
                              });
    }

private:
    void send()
    {
        constexpr unsigned http_1_1 = 11;
        request_ = {};
        request_.version(http_1_1);
        request_.method_string(current_.message.method);
        request_.target(current_.message.path);
        request_.set(http::field::host, owner_ == nullptr ? "" : owner_->address_);
        request_.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : current_.message.headers)
        {
            request_.set(name, value);
        }
        request_.body() = std::move(current_.message.body);
        request_.prepare_payload();
        http::async_write(stream_, request_,
                          [self = shared_from_this()](beast::error_code ec, std::size_t)
                          {
                              if (ec)
                              {
                                  self->fail();
                                  return;
                              }
                              self->receive();
                          });
    }

    void receive()
    {
        /// Bound on a reply: a list of all runs on the endpoint and of 500 ended runs.
        constexpr std::uint64_t max_reply_bytes = 4UL * 1024 * 1024;
        parser_.emplace();
        parser_->body_limit(max_reply_bytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code ec, std::size_t)
                         {
                             if (ec)
                             {
                                 self->fail();
                                 return;
                             }
                             self->succeed();
                         });
    }

    void succeed()
    {
        stream_.expires_never();
        auto response = parser_->release();
        if (!response.keep_alive())
        {
            close();
        }
        finish(http_reply{static_cast<int>(response.result_int()), std::move(response.body())});
    }

    void fail()
    {
        close();
        finish(std::nullopt);
    }

    void finish(const std::optional<http_reply>& reply)
    {
        const auto handler = std::move(current_.on_reply);
        current_ = {};
        busy_ = false;
        auto* owner = owner_;
        if (owner == nullptr)
        {
            return;
        }
        if (closed_)
        {
            std::erase(owner->connections_, shared_from_this());
        }
        if (handler)
        {
            handler(reply);
        }
        owner->start_queued_calls();
    }

    http_pool* owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    queued_call current_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    bool connected_ = false;
    bool busy_ = false;
    bool closed_ = false;
};

http_pool::http_pool(boost::asio::io_context& io, const base::clock& clock, std::string local_ip,
                     std::size_t max_connections)
    : io_(io), clock_(clock), local_ip_(std::move(local_ip)), max_connections_(max_connections)
{
}

http_pool::~http_pool()
{
    for (const auto& it : connections_)
    {
        it->detach();
    }
}

void http_pool::set_address(const std::string& address)
{
    if (address == address_)
    {
        return;
    }
    address_ = address;
    const auto connections = connections_;
    for (const auto& it : connections)
    {
        if (it->is_idle())
        {
            it->close();
            std::erase(connections_, it);
        }
    }
}

void http_pool::call(request message, reply_handler on_reply)
{
    queue_.push_back({std::move(message), std::move(on_reply)});
    start_queued_calls();
}

void http_pool::start_queued_calls()
{
    while (!queue_.empty())
    {
        if (queue_.front().message.deadline <= clock_.now())
        {
            // Posted, since the handler may call call().
            boost::asio::post(io_, [on_reply = std::move(queue_.front().on_reply)]
                              { on_reply(std::nullopt); });
            queue_.pop_front();
            continue;
        }
        auto idle = std::ranges::find_if(connections_, &connection::is_idle);
        std::shared_ptr<connection> chosen;
        if (idle != connections_.end())
        {
            chosen = *idle;
        }
        else if (connections_.size() < max_connections_)
        {
            chosen = std::make_shared<connection>(*this);
            connections_.push_back(chosen);
        }
        else
        {
            return;
        }
        auto next = std::move(queue_.front());
        queue_.pop_front();
        chosen->run(std::move(next));
    }
}

} // namespace savoryreach::daemon
