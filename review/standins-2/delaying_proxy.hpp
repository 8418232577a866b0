#ifndef SAVORYREACH_REVIEW_2_DELAYING_PROXY_HPP
#define SAVORYREACH_REVIEW_2_DELAYING_PROXY_HPP

#include "fleet.hpp"

#include <poll.h>

namespace review
{

/// A link on which what is under way during a partition arrives after it, as TCP sends it again:
/// also when its sender has ended meanwhile. Connections that begin after the partition are not
/// held up.
class delaying_proxy
{
public:
    delaying_proxy(const std::string& ip, int port, std::string to_ip, int to_port)
        : to_ip_(std::move(to_ip)), to_port_(to_port)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = address_of(ip, port);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(listener_, 64) != 0)
        {
            std::exit(could_not_run);
        }
        std::thread([this] { accept(); }).detach();
    }

    /// What is sent until \p until_ms arrives at \p arrives_at_ms.
    void cut(double until_ms, double arrives_at_ms)
    {
        arrives_at_ = arrives_at_ms;
        cut_until_ = until_ms;
    }

private:
    static sockaddr_in address_of(const std::string& ip, int port)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
        return out;
    }
    void accept()
    {
        for (;;)
        {
            const int from = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (from >= 0)
            {
                std::thread([this, from] { pass(from); }).detach();
            }
        }
    }
    void pass(int from)
    {
        const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = address_of(to_ip_, to_port_);
        bool open = ::connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        while (open)
        {
            pollfd sides[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
            ::poll(sides, 2, -1);
            char bytes[65536];
            for (int n = 0; n < 2 && open; ++n)
            {
                if (sides[n].revents == 0)
                {
                    continue;
                }
                const auto size = ::recv(n == 0 ? from : to, bytes, sizeof bytes, 0);
                open = size > 0;
                if (open && now_ms() < cut_until_)
                {
                    sleep_ms(arrives_at_ - now_ms());
                }
                open = open && ::send(n == 0 ? to : from, bytes, static_cast<std::size_t>(size),
                                      MSG_NOSIGNAL) == size;
            }
        }
        ::close(from);
        ::close(to);
    }

    std::string to_ip_;
    int to_port_;
    int listener_ = -1;
    std::atomic<double> cut_until_ = 0.0;
    std::atomic<double> arrives_at_ = 0.0;
};

} // namespace review

#endif
