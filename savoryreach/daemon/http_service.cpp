#include "savoryreach/daemon/http_service.hpp"

#include "savoryreach/daemon/descriptor_budget.hpp"
#include "savoryreach/daemon/logger.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <string_view>

namespace savoryreach::daemon
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Sets host and path from the target, "/path?query" or "http://host:port/path?query", and the
/// Host header, which a host in the target replaces.
void set_address(std::string_view target, std::string_view host, http_request& out)
{
    constexpr std::string_view scheme = "http://";
    if (absl::EqualsIgnoreCase(std::string(target.substr(0, scheme.size())), scheme.data()))
    {
        target.remove_prefix(scheme.size());
        const auto path_at = std::min(target.find_first_of("/?"), target.size());
        host = target.substr(0, path_at);
        target.remove_prefix(path_at);
    }
    const auto path = target.substr(0, target.find('?'));
    out.path = path.empty() ? "/" : std::string(path);
    const auto colon = host.rfind(':');
    const auto is_port = colon != std::string_view::npos &&
                         host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
    out.host = std::string(is_port ? host.substr(0, colon) : host);
    absl::AsciiStrToLower(&out.host);
}

/// Part of its limit below which a service that was full counts as free again, in percent.
constexpr std::size_t free_percent = 90;

} // namespace

class http_service::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(connection_slots::id id, boost::asio::ip::tcp::socket socket, http_service& owner)
        : id_(id), stream_(std::move(socket)), owner_(owner)
    {
        boost::system::error_code ec;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(owner_.limits_.header_bytes);
        parser_->body_limit(owner_.limits_.body_bytes);
        if (buffer_.size() > 0)
        {
            read_request();
            return;
        }
        idle_ = true;
        owner_.slots_.set_idle(id_);
        // The deadline of a request starts with its first byte.
        expire_in(owner_.limits_.idle_timeout_ms);
        stream_.async_read_some(buffer_.prepare(read_bytes),
                                [self = shared_from_this()](beast::error_code ec, std::size_t n)
                                {
                                    if (ec || self->closed_)
                                    {
                                        self->close();
                                        return;
                                    }
                                    self->idle_ = false;
                                    self->buffer_.commit(n);
                                    self->read_request();
                                });
    }

    [[nodiscard]] bool is_idle() const { return idle_; }

    void close()
    {
        if (closed_)
        {
            return;
        }
        closed_ = true;
        beast::error_code ec;
        stream_.socket().close(ec);
        if (current_)
        {
            current_->caller_disconnected();
        }
        owner_.on_closed(id_);
    }

private:
    class exchange final : public http_exchange
    {
    public:
        explicit exchange(std::shared_ptr<connection> owner) : connection_(std::move(owner))
        {
            ++connection_->owner_.open_exchanges_;
        }
        ~exchange() override
        {
            if (!responded_)
            {
                --connection_->owner_.open_exchanges_;
            }
        }

        void respond(http_response response) override
        {
            if (responded_)
            {
                return;
            }
            responded_ = true;
            --connection_->owner_.open_exchanges_;
            on_disconnect_ = nullptr;
            connection_->current_ = nullptr;
            if (!connection_->closed_)
            {
                connection_->write(std::move(response));
            }
        }
        void on_disconnect(std::function<void()> callback) override
        {
            on_disconnect_ = std::move(callback);
        }
        [[nodiscard]] bool ends_with_caller() const { return on_disconnect_ != nullptr; }
        void caller_disconnected()
        {
            if (const auto callback = std::move(on_disconnect_))
            {
                callback();
            }
        }

    private:
        std::shared_ptr<connection> connection_;
        std::function<void()> on_disconnect_;
        bool responded_ = false;
    };

    static constexpr std::size_t read_bytes = 4096;

    void expire_in(std::uint32_t ms) { stream_.expires_after(std::chrono::milliseconds(ms)); }

    void read_request()
    {
        owner_.slots_.set_reading(id_);
        expire_in(owner_.limits_.header_timeout_ms);
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](beast::error_code ec, std::size_t)
                                { self->on_header(ec); });
    }

    void on_header(beast::error_code ec)
    {
        if (ec || parser_->is_done())
        {
            on_read(ec);
            return;
        }
        const auto& header = parser_->get();
        constexpr unsigned first_with_interim_answers = 11;
        if (header.version() < first_with_interim_answers || buffer_.size() > 0 ||
            !beast::iequals(header[http::field::expect], "100-continue"))
        {
            read_body();
            return;
        }
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(stream_, boost::asio::buffer(interim),
                                 [self = shared_from_this()](beast::error_code failed, std::size_t)
                                 {
                                     if (failed)
                                     {
                                         self->close();
                                         return;
                                     }
                                     self->read_body();
                                 });
    }

    void read_body()
    {
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code ec, std::size_t)
                         { self->on_read(ec); });
    }

    void on_read(beast::error_code ec)
    {
        if (closed_)
        {
            return;
        }
        owner_.slots_.set_serving(id_);
        if (ec == http::error::body_limit || ec == http::error::header_limit)
        {
            keep_alive_ = false;
            version_ = 11;
            http_response out;
            out.status =
                ec == http::error::body_limit ? status_body_too_large : status_header_too_large;
            write(std::move(out));
            return;
        }
        // A default-constructed error code has the system category too, hence the check of `ec`.
        if (ec && (ec == http::error::end_of_stream || ec == beast::error::timeout ||
                   ec.category() == boost::asio::error::get_system_category()))
        {
            close();
            return;
        }
        if (ec)
        {
            keep_alive_ = false;
            version_ = 11;
            http_response out;
            out.status = status_bad_request;
            write(std::move(out));
            return;
        }
        stream_.expires_never();
        auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        version_ = message.version();
        http_request request;
        request.method = std::string(message.method_string());
        const auto target = message.target();
        const auto host = message[http::field::host];
        set_address({target.data(), target.size()}, {host.data(), host.size()}, request);
        std::uint32_t deadline_ms = 0;
        const auto deadline_text = message[owner_.options_.deadline_header];
        if (absl::SimpleAtoi(absl::string_view(deadline_text.data(), deadline_text.size()),
                             &deadline_ms))
        {
            request.deadline_ms = deadline_ms;
        }
        request.body = std::move(message.body());
        const auto pending = std::make_shared<exchange>(shared_from_this());
        current_ = pending.get();
        watch_for_disconnect();
        serve(request, pending);
    }

    /// An error in one request must not end the process with all others.
    void serve(const http_request& request, const std::shared_ptr<exchange>& pending)
    {
        try
        {
            owner_.serve_(request, pending);
        }
        catch (const std::exception& exception)
        {
            log(log_level::error, "request_raised",
                {{"path", request.path}, {"reason", exception.what()}});
            http_response response;
            response.status = status_internal_error;
            response.body = "{}";
            pending->respond(std::move(response));
        }
    }

    /// Closes the connection when the caller leaves before the response. The end of the caller's
    /// sending side counts as leaving only for an exchange that asks for it: a caller may end that
    /// side and wait for the response.
    void watch_for_disconnect()
    {
        stream_.socket().async_wait(
            boost::asio::ip::tcp::socket::wait_read,
            [weak = weak_from_this()](beast::error_code ec)
            {
                const auto self = weak.lock();
                if (ec || !self || self->closed_ || self->current_ == nullptr)
                {
                    return;
                }
                char byte = 0;
                const auto n = ::recv(self->stream_.socket().native_handle(), &byte, 1,
                                      MSG_PEEK | MSG_DONTWAIT);
                const bool broken = n < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
                if (broken || (n == 0 && self->current_->ends_with_caller()))
                {
                    self->close();
                }
            });
    }

    void write(http_response response)
    {
        auto message = std::make_shared<http::response<http::string_body>>(
            static_cast<http::status>(response.status), version_);
        message->set(http::field::content_type, response.content_type);
        if (response.retry_after_s)
        {
            message->set(http::field::retry_after, std::to_string(*response.retry_after_s));
        }
        message->body() = std::move(response.body);
        message->keep_alive(keep_alive_ && !owner_.draining_);
        message->prepare_payload();
        expire_in(owner_.limits_.idle_timeout_ms);
        http::async_write(stream_, *message,
                          [self = shared_from_this(), message](beast::error_code ec, std::size_t)
                          {
                              if (ec || !message->keep_alive())
                              {
                                  self->finish();
                                  return;
                              }
                              self->read();
                          });
    }

    void finish()
    {
        beast::error_code ec;
        if (!closed_)
        {
            stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        }
        close();
    }

    const connection_slots::id id_;
    beast::tcp_stream stream_;
    http_service& owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    exchange* current_ = nullptr;
    bool idle_ = false; ///< between two requests
    bool keep_alive_ = true;
    unsigned version_ = 11;
    bool closed_ = false;
};

void log_accept_state(const std::string& service, const std::string& reason)
{
    if (reason.empty())
    {
        log(log_level::info, "accept_recovered", {{"service", service}});
        return;
    }
    log(log_level::error, "accept_failed", {{"service", service}, {"reason", reason}});
}

http_service::http_service(boost::asio::io_context& io, http_service_options options, handler serve)
    : options_(std::move(options)), serve_(std::move(serve)),
      listener_(io, {.accepted = [this](boost::asio::ip::tcp::socket socket)
                     { on_accepted(std::move(socket)); },
                     .failing =
                         [this](const std::string& reason)
                     {
                         log_accept_state(options_.name, reason);
                     }}),
      max_connections_([] { return max_caller_connections(descriptor_limit()); })
{
}

http_service::~http_service() = default;

std::optional<std::string> http_service::listen(const std::string& address)
{
    return listener_.listen(address);
}

void http_service::on_accepted(boost::asio::ip::tcp::socket socket)
{
    const auto addition = slots_.add(max_connections_());
    const auto it = std::make_shared<connection>(addition.added, std::move(socket), *this);
    connections_[addition.added] = it;
    if (!addition.to_close.empty())
    {
        close_for_room(addition.to_close);
    }
    if (connections_.contains(addition.added))
    {
        it->read();
    }
}

void http_service::close_for_room(const std::vector<connection_slots::id>& closed)
{
    if (!full_)
    {
        full_ = true;
        log(log_level::warning, "connections_full",
            {{"service", options_.name}, {"limit", std::to_string(max_connections_())}});
    }
    for (const auto id : closed)
    {
        const auto it = connections_.at(id);
        it->close();
    }
}

void http_service::on_closed(connection_slots::id it)
{
    slots_.remove(it);
    connections_.erase(it);
    if (full_ && connections_.size() < max_connections_() * free_percent / 100)
    {
        full_ = false;
        log(log_level::info, "connections_free",
            {{"service", options_.name},
             {"closed", std::to_string(slots_.closed_for_room())},
             {"refused", std::to_string(slots_.refused())}});
    }
}

void http_service::write_metrics(observe::metrics& out) const
{
    out.gauge_of("savoryreach_connections", "connections that are open",
                 {{"service", options_.name}}) = static_cast<double>(connections_.size());
    out.gauge_of("savoryreach_connections_limit", "connections that may be open",
                 {{"service", options_.name}}) = static_cast<double>(max_connections_());
    const auto count = [&](const char* closed, std::uint64_t value)
    {
        out.counter_of("savoryreach_connections_closed_total",
                       "connections closed since the service had as many as it may",
                       {{"service", options_.name}, {"closed", closed}}) = value;
    };
    count("idle", slots_.closed_for_room());
    count("new", slots_.refused());
    listener_.write_metrics(out, options_.name);
}

void http_service::stop_accepting()
{
    listener_.close();
    const auto connections = connections_;
    for (const auto& [id, it] : connections)
    {
        if (it->is_idle())
        {
            it->close();
        }
    }
}

void http_service::stop()
{
    listener_.close();
    const auto connections = connections_;
    for (const auto& [id, it] : connections)
    {
        it->close();
    }
}

} // namespace savoryreach::daemon
