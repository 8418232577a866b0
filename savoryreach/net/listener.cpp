#include "savoryreach/net/listener.hpp"

#include "savoryreach/net/address.hpp"

namespace savoryreach::net
{

using boost::asio::ip::tcp;

listener::listener(boost::asio::io_context& io, callbacks handlers)
    : acceptor_(io), retry_(io), handlers_(std::move(handlers))
{
}

std::optional<std::string> listener::listen(const std::string& address)
{
    if (auto error = listen_at(acceptor_, address))
    {
        return error;
    }
    accept();
    return std::nullopt;
}

void listener::close()
{
    boost::system::error_code ec;
    acceptor_.close(ec);
    retry_.cancel();
}

void listener::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& ec, tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted || !acceptor_.is_open())
            {
                return;
            }
            if (ec)
            {
                on_failure(ec.message());
                accept_after_pause();
                return;
            }
            on_success();
            // First, so that an error in the handler does not end the listening.
            accept();
            handlers_.accepted(std::move(socket));
        });
}

void listener::accept_after_pause()
{
    retry_.expires_after(retry_pause);
    retry_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (!ec && acceptor_.is_open())
            {
                accept();
            }
        });
}

void listener::on_failure(const std::string& reason)
{
    ++failures_[reason];
    settled_at_ = std::chrono::steady_clock::now() + settle_time;
    if (failing_reason_ != reason)
    {
        failing_reason_ = reason;
        handlers_.failing(reason);
    }
}

void listener::on_success()
{
    if (!failing_reason_.empty() && std::chrono::steady_clock::now() >= settled_at_)
    {
        failing_reason_.clear();
        handlers_.failing("");
    }
}

void listener::write_metrics(observe::metrics& out, const std::string& service) const
{
    for (const auto& [reason, count] : failures_)
    {
        out.counter_of("savoryreach_failed_accepts_total", "connections that were not accepted",
                       {{"service", service}, {"reason", reason}}) = count;
    }
}

} // namespace savoryreach::net
