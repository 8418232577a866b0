#ifndef SAVORYREACH_NET_ADDRESS_HPP
#define SAVORYREACH_NET_ADDRESS_HPP

#include <utility>

#include <boost/asio.hpp>

#include <optional>
#include <string>

namespace savoryreach::net
{

/// Parses "ip:port"; returns nullopt unless it is an IP address with a non-zero port.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& text);

/// Makes \p acceptor listen on "ip:port"; returns an error message, or nullopt on success.
[[nodiscard]] std::optional<std::string> listen_at(boost::asio::ip::tcp::acceptor& acceptor,
                                                   const std::string& address);

} // namespace savoryreach::net

#endif
