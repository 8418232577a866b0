#ifndef SAVORYREACH_TESTS_SOAK_LOOPBACK_PROXY_HPP
#define SAVORYREACH_TESTS_SOAK_LOOPBACK_PROXY_HPP

#include "tests/soak/load.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace savoryreach::soak
{

using tcp = boost::asio::ip::tcp;

/// Passes connections on, and harms them: all of its connections at once.
class proxy
{
public:
    enum class mode
    {
        pass,
        slow,    ///< each piece is 100 ms late
        silent,  ///< nothing passes, nothing is closed
        one_way, ///< what the server answers is lost
    };

    proxy(const std::string& ip, int port, const std::string& to_ip, int to_port)
        : acceptor_(io_, {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}),
          to_(boost::asio::ip::make_address(to_ip), static_cast<std::uint16_t>(to_port))
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~proxy()
    {
        io_.stop();
        thread_.join();
    }
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    void set(mode how) { mode_ = how; }
    /// Resets all connections.
    void reset()
    {
        boost::asio::post(io_,
                          [this]
                          {
                              for (const auto& it : pairs_)
                              {
                                  close(*it);
                              }
                              pairs_.clear();
                          });
    }

private:
    struct pair
    {
        explicit pair(boost::asio::io_context& io) : client(io), server(io) {}
        tcp::socket client;
        tcp::socket server;
        std::array<char, 8192> up = {};
        std::array<char, 8192> down = {};
    };
    using pair_ptr = std::shared_ptr<pair>;

    static void close(pair& it)
    {
        boost::system::error_code ec;
        it.client.set_option(boost::asio::socket_base::linger(true, 0), ec);
        it.client.close(ec);
        it.server.close(ec);
    }
    void accept()
    {
        const auto it = std::make_shared<pair>(io_);
        acceptor_.async_accept(it->client,
                               [this, it](boost::system::error_code ec)
                               {
                                   if (!ec)
                                   {
                                       connect(it);
                                   }
                                   accept();
                               });
    }
    void connect(const pair_ptr& it)
    {
        it->server.async_connect(to_,
                                 [this, it](boost::system::error_code ec)
                                 {
                                     if (ec)
                                     {
                                         close(*it);
                                         return;
                                     }
                                     pairs_.insert(it);
                                     pump(it, true);
                                     pump(it, false);
                                 });
    }
    void pump(const pair_ptr& it, bool is_up)
    {
        auto& from = is_up ? it->client : it->server;
        auto& buffer = is_up ? it->up : it->down;
        from.async_read_some(boost::asio::buffer(buffer),
                             [this, it, is_up](boost::system::error_code ec, std::size_t n)
                             {
                                 if (ec)
                                 {
                                     close(*it);
                                     pairs_.erase(it);
                                     return;
                                 }
                                 forward(it, is_up, n);
                             });
    }
    void forward(const pair_ptr& it, bool is_up, std::size_t n)
    {
        const auto how = mode_.load();
        if (how == mode::silent || (how == mode::one_way && !is_up))
        {
            pump(it, is_up);
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(how == mode::slow ? milliseconds(100) : milliseconds(0));
        timer->async_wait(
            [this, it, is_up, n, timer](boost::system::error_code)
            {
                auto& to = is_up ? it->server : it->client;
                const auto& buffer = is_up ? it->up : it->down;
                boost::asio::async_write(
                    to, boost::asio::buffer(buffer.data(), n),
                    [this, it, is_up](boost::system::error_code ec, std::size_t)
                    {
                        if (!ec)
                        {
                            pump(it, is_up);
                        }
                    });
            });
    }

    boost::asio::io_context io_{1};
    tcp::acceptor acceptor_;
    tcp::endpoint to_;
    std::atomic<mode> mode_ = mode::pass;
    std::set<pair_ptr> pairs_;
    std::thread thread_;
};

} // namespace savoryreach::soak

#endif
