#include "savoryreach/net/address.hpp"

#include <absl/strings/numbers.h>

#include <cstdint>

namespace savoryreach::net
{

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    std::uint32_t port = 0;
    if (ec || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > UINT16_MAX)
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

std::optional<std::string> listen_at(tcp::acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        return "not an ip:port: " + address;
    }
    boost::system::error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor.bind(*endpoint, ec);
    }
    if (!ec)
    {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    return ec ? std::optional(address + ": " + ec.message()) : std::nullopt;
}

} // namespace savoryreach::net
