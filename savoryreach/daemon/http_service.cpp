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
#include <utility>

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

/// Memory of a connection without what its requests need: the object and its first read; bytes.
constexpr std::size_t connection_bytes = 8192;
/// Upper bound of what a stored header field has beside its text, bytes.
constexpr std::size_t field_bytes = 96;
/// A request that is being served exists once more, as the job or configuration decoded from it.
constexpr std::size_t copies_in_service = 2;
/// Bytes of an answer that is sent whatever the memory limit says.
constexpr std::size_t small_answer = 65536;
constexpr std::uint32_t overload_retry_after_s = 1;

/// A body of which at most so many bytes are kept; the others are counted and dropped.
struct kept_body
{
    std::string text;
    std::uint64_t max_bytes = 0;
};

struct request_body
{
    using value_type = kept_body;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*header*/, value_type& body) : body_(body)
        {
        }
        void init(const boost::optional<std::uint64_t>& size, beast::error_code& ec)
        {
            size_ = size ? *size : 0;
            ec = {};
        }
        template <class ConstBuffers>
        std::size_t put(const ConstBuffers& buffers, beast::error_code& ec)
        {
            ec = {};
            std::size_t out = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it)
            {
                const boost::asio::const_buffer part = *it;
                append({static_cast<const char*>(part.data()), part.size()});
                out += part.size();
            }
            return out;
        }
        void finish(beast::error_code& ec) { ec = {}; }

    private:
        void append(std::string_view part)
        {
            auto& text = body_.text;
            part = part.substr(0, body_.max_bytes -
                                      std::min<std::uint64_t>(text.size(), body_.max_bytes));
            if (text.size() + part.size() > text.capacity() && size_ > 0)
            {
                // Not beyond the announced size, but no faster than the bytes arrive.
                const auto end = std::min(size_, body_.max_bytes);
                text.reserve(std::max<std::size_t>(text.size() + part.size(),
                                                   std::min<std::uint64_t>(2 * text.size(), end)));
            }
            text.append(part);
        }

        value_type& body_;
        std::uint64_t size_ = 0; ///< announced; 0 for a chunked body
    };
};

/// Part of its limit below which a service that was full counts as free again, in percent.
constexpr std::size_t free_percent = 90;

const char* name_of(http_service::reject_cause cause)
{
    switch (cause)
    {
    case http_service::reject_cause::memory:
        return "memory";
    case http_service::reject_cause::header:
        return "header";
    case http_service::reject_cause::body:
        return "body";
    default:
        return "malformed";
    }
}

} // namespace

class http_service::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(connection_slots::id id, boost::asio::ip::tcp::socket socket, http_service& owner)
        : id_(id), charge_(owner.memory_->add()), stream_(std::move(socket)), owner_(owner),
          buffer_(std::size_t{owner.limits_.header_bytes} + read_bytes)
    {
        boost::system::error_code ec;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
    }

    [[nodiscard]] net::memory_budget::id charge() const { return charge_; }

    void read()
    {
        if (closed_)
        {
            return;
        }
        fields_bytes_ = 0;
        if (buffer_.size() == 0 && buffer_.capacity() > read_bytes)
        {
            buffer_.shrink_to_fit();
        }
        parser_.emplace();
        parser_->header_limit(owner_.limits_.header_bytes);
        parser_->body_limit(owner_.limits_.body_bytes);
        parser_->get().body().max_bytes =
            std::min(owner_.limits_.kept_body_bytes, owner_.limits_.body_bytes);
        if (!owner_.request_memory(charge_, connection_bytes + buffer_.capacity()))
        {
            reject(status_unavailable, reject_cause::memory);
            return;
        }
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
    [[nodiscard]] const boost::asio::ip::tcp::socket& socket() const { return stream_.socket(); }

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
        /// The request is kept until this object ends, also when its caller has left.
        void keep_memory(std::size_t bytes)
        {
            memory_ = connection_->owner_.memory_;
            charge_ = memory_->add();
            memory_->keep(charge_, bytes);
        }
        ~exchange() override
        {
            release_memory();
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
            release_memory();
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
        void release_memory()
        {
            if (const auto memory = std::exchange(memory_, nullptr))
            {
                memory->remove(charge_);
            }
        }

        std::shared_ptr<connection> connection_;
        std::shared_ptr<net::memory_budget> memory_;
        net::memory_budget::id charge_ = 0;
        std::function<void()> on_disconnect_;
        bool responded_ = false;
    };

    static constexpr std::size_t read_bytes = 4096;

    void expire_in(std::uint32_t ms) { stream_.expires_after(std::chrono::milliseconds(ms)); }

    void read_request()
    {
        owner_.slots_.set_reading(id_);
        expire_in(owner_.limits_.header_timeout_ms);
        parse();
    }

    /// Reads on, unless the memory for it is not granted.
    void read_more()
    {
        if (closed_)
        {
            return;
        }
        const auto room = buffer_.capacity() - buffer_.size();
        const auto n = std::min(room > 0 ? room : std::max(buffer_.capacity(), read_bytes),
                                buffer_.max_size() - buffer_.size());
        if (n == 0)
        {
            reject(status_header_too_large, reject_cause::header);
            return;
        }
        const auto& text = parser_->get().body().text;
        const auto body = text.size() + n <= text.capacity()
                              ? text.capacity()
                              : std::max(2 * text.capacity(), text.size() + n);
        if (!owner_.request_memory(charge_, connection_bytes + fields_bytes_ + body +
                                                std::max(buffer_.capacity(), buffer_.size() + n)))
        {
            reject(status_unavailable, reject_cause::memory);
            return;
        }
        stream_.async_read_some(buffer_.prepare(n),
                                [self = shared_from_this()](beast::error_code ec, std::size_t n)
                                {
                                    if (self->closed_)
                                    {
                                        return;
                                    }
                                    self->buffer_.commit(n);
                                    if (ec == boost::asio::error::eof)
                                    {
                                        self->parser_->put_eof(ec);
                                    }
                                    if (ec)
                                    {
                                        self->on_read(ec);
                                        return;
                                    }
                                    self->parse();
                                });
    }

    /// Parses what has been read, up to the end of the header or of the request.
    void parse()
    {
        // Beast asserts that the last chunk has its least size when it looks at it again. No body
        // ends in fewer bytes, so that waiting for them holds up no request.
        constexpr std::size_t least_last_chunk = 5;
        while (!closed_ &&
               buffer_.size() >=
                   (parser_->is_header_done() && parser_->chunked() ? least_last_chunk : 1))
        {
            const bool had_header = parser_->is_header_done();
            beast::error_code ec;
            buffer_.consume(parser_->put(buffer_.data(), ec));
            if (ec == http::error::need_more)
            {
                break;
            }
            if (ec || parser_->is_done())
            {
                on_read(ec);
                return;
            }
            if (!had_header && parser_->is_header_done())
            {
                on_header();
                return;
            }
        }
        read_more();
    }

    void on_header()
    {
        parser_->eager(true);
        const auto& header = parser_->get();
        for (const auto& it : header)
        {
            fields_bytes_ += field_bytes + it.name_string().size() + it.value().size();
        }
        constexpr unsigned first_with_interim_answers = 11;
        if (header.version() < first_with_interim_answers || buffer_.size() > 0 ||
            !beast::iequals(header[http::field::expect], "100-continue"))
        {
            parse();
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
                                     self->parse();
                                 });
    }

    void on_read(beast::error_code ec)
    {
        if (closed_)
        {
            return;
        }
        owner_.slots_.set_serving(id_);
        if (ec == http::error::body_limit)
        {
            reject(status_body_too_large, reject_cause::body);
            return;
        }
        if (ec == http::error::header_limit)
        {
            reject(status_header_too_large, reject_cause::header);
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
            reject(status_bad_request, reject_cause::malformed);
            return;
        }
        const auto body_bytes = copies_in_service * parser_->get().body().text.size();
        const auto own_bytes = connection_bytes + buffer_.capacity();
        if (!owner_.request_memory(charge_, own_bytes + body_bytes))
        {
            reject(status_unavailable, reject_cause::memory);
            return;
        }
        owner_.memory_->keep(charge_, own_bytes);
        stream_.expires_never();
        auto message = parser_->release();
        parser_.reset();
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
        request.body = std::move(message.body().text);
        const auto pending = std::make_shared<exchange>(shared_from_this());
        pending->keep_memory(body_bytes);
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

    /// Answers that nothing of the request was passed on, and closes the connection.
    void reject(http_status status, reject_cause cause)
    {
        owner_.on_rejected(cause, stream_.socket());
        parser_.reset();
        keep_alive_ = false;
        version_ = 11;
        owner_.slots_.set_serving(id_);
        http_response out;
        out.status = status;
        if (status == status_unavailable)
        {
            out.body = "{}";
            out.retry_after_s = overload_retry_after_s;
        }
        write(std::move(out));
    }

    void write(http_response response)
    {
        const auto bytes = connection_bytes + buffer_.capacity() + response.body.size();
        if (response.body.size() > small_answer && !owner_.request_memory(charge_, bytes))
        {
            reject(status_unavailable, reject_cause::memory);
            return;
        }
        owner_.memory_->keep(charge_, bytes);
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
    const net::memory_budget::id charge_;
    beast::tcp_stream stream_;
    http_service& owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<request_body>> parser_;
    std::size_t fields_bytes_ = 0; ///< of the header that was read
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
    : options_(std::move(options)), serve_(std::move(serve)), rejections_(options_.name),
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
    ids_by_charge_[it->charge()] = addition.added;
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
    if (const auto found = connections_.find(it); found != connections_.end())
    {
        memory_->remove(found->second->charge());
        ids_by_charge_.erase(found->second->charge());
        connections_.erase(found);
    }
    if (full_ && connections_.size() < max_connections_() * free_percent / 100)
    {
        full_ = false;
        log(log_level::info, "connections_free",
            {{"service", options_.name},
             {"closed", std::to_string(slots_.closed_for_room())},
             {"refused", std::to_string(slots_.refused())}});
    }
}

bool http_service::request_memory(net::memory_budget::id holder, std::size_t bytes)
{
    const auto out = memory_->request(holder, bytes);
    for (const auto closed : out.to_close)
    {
        if (const auto found = ids_by_charge_.find(closed); found != ids_by_charge_.end())
        {
            const auto it = connections_.at(found->second);
            on_rejected(reject_cause::memory, it->socket());
            it->close();
        }
    }
    return out.granted;
}

void http_service::on_rejected(reject_cause cause, const boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    const auto from = socket.remote_endpoint(ec);
    rejections_.record(name_of(cause), ec ? "unknown" : from.address().to_string(),
                       memory_->used());
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
    rejections_.write_metrics(out);
    out.gauge_of("savoryreach_connections_memory_bytes", "memory that connections keep",
                 {{"service", options_.name}}) = static_cast<double>(memory_->used());
    out.gauge_of("savoryreach_connections_memory_limit_bytes", "memory that connections may keep",
                 {{"service", options_.name}}) = static_cast<double>(memory_->limit());
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
