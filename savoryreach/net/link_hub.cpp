#include "savoryreach/net/link_hub.hpp"

#include "savoryreach/net/address.hpp"

#include <algorithm>

namespace savoryreach::net
{
namespace
{

/// A link without a byte for this time is replaced: connections may go silent for good.
constexpr auto silence_limit = absl::Milliseconds(1200);
/// A connection that is not established in this time is given up; a round trip takes 2 ms.
constexpr auto dial_timeout = absl::Milliseconds(600);
/// Pause before a lost or refused connection is dialled again.
constexpr auto redial_pause = absl::Milliseconds(150);

/// A process that has not looked at its links for this time has been suspended. Shorter than the
/// silence limit, so that no order is taken that the other side has given up.
constexpr auto longest_stall = absl::Milliseconds(900);

constexpr std::uint32_t protocol_version = 2;

} // namespace

link_hub::link_hub(boost::asio::io_context& io, options chosen, callbacks calls,
                   const base::clock& clock, observe::hybrid_clock& hybrid)
    : io_(io), options_(std::move(chosen)), calls_(std::move(calls)), clock_(clock),
      hybrid_(hybrid), acceptor_(io), ticked_at_(absl::InfiniteFuture()),
      incarnation_(static_cast<std::uint64_t>(absl::ToUnixNanos(clock.wall_now())))
{
}

std::optional<std::string> link_hub::start()
{
    if (options_.address.empty())
    {
        return std::nullopt;
    }
    if (auto error = listen_at(acceptor_, options_.address))
    {
        return error;
    }
    accept();
    return std::nullopt;
}

void link_hub::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!ec)
            {
                auto it = std::make_shared<link>(std::move(socket), link_callbacks(), clock_);
                links_.push_back(it);
                it->start();
                send_hello(*it);
            }
            accept();
        });
}

link::callbacks link_hub::link_callbacks()
{
    return {.opened = [this](link& it) { send_hello(it); },
            .received = [this](link& it, const schema::envelope& message)
            { on_received(it, message); },
            .closed =
                [this](link& it)
            {
                on_closed(it);
            }};
}

void link_hub::want(const std::vector<std::string>& addresses)
{
    for (auto it = wanted_.begin(); it != wanted_.end();)
    {
        if (std::ranges::find(addresses, it->first) != addresses.end())
        {
            ++it;
            continue;
        }
        const auto connection = it->second.connection;
        it = wanted_.erase(it);
        if (connection)
        {
            connection->close("no longer needed");
        }
    }
    for (const auto& it : addresses)
    {
        if (it != options_.address && wanted_.try_emplace(it).second)
        {
            dial(it, wanted_[it]);
        }
    }
}

void link_hub::dial(const std::string& address, wanted& entry)
{
    const auto to = parse_address(address);
    entry.dial_at = clock_.now() + redial_pause;
    if (!to)
    {
        return;
    }
    boost::asio::ip::tcp::socket socket(io_);
    boost::system::error_code ec;
    socket.open(to->protocol(), ec);
    if (!options_.local_ip.empty())
    {
        socket.bind({boost::asio::ip::make_address(options_.local_ip, ec), 0}, ec);
    }
    auto it = std::make_shared<link>(std::move(socket), link_callbacks(), clock_);
    it->address = address;
    entry.connection = it;
    links_.push_back(it);
    it->dial(*to);
}

void link_hub::send_hello(link& to)
{
    schema::envelope message;
    auto& hello = *message.mutable_hello();
    hello.set_cluster("savoryreach");
    hello.set_node(options_.name);
    hello.set_role(options_.role);
    hello.set_incarnation(incarnation_);
    hello.set_protocol_version(protocol_version);
    hello.set_address(options_.address);
    hello.set_can_store(options_.can_store);
    to.send(message);
}

void link_hub::on_received(link& from, const schema::envelope& message)
{
    if (clock_.now() > ticked_at_ + longest_stall)
    {
        // The process was suspended: what it finds in its sockets may be long out of date.
        close_all("the process stood still");
        return;
    }
    if (message.has_hello())
    {
        on_hello(from, message.hello());
        return;
    }
    if (from.peer.empty() || message.has_ping())
    {
        return;
    }
    hybrid_.receive(message.hlc());
    calls_.received({from.peer, from.announced, from.peer_can_store}, message);
}

void link_hub::on_hello(link& from, const schema::hello& hello)
{
    if (!from.peer.empty() || hello.protocol_version() != protocol_version || hello.node().empty())
    {
        return;
    }
    from.peer = hello.node();
    from.announced = hello.address();
    from.peer_can_store = hello.can_store();
    // A second connection the same way round replaces the first, which the peer has given up.
    if (const auto it = by_peer_.find(from.peer); it != by_peer_.end())
    {
        const auto held = it->second;
        for (const auto& old : held)
        {
            if (old->address.empty() == from.address.empty())
            {
                old->close("replaced by a newer connection");
            }
        }
    }
    auto& held = by_peer_[from.peer];
    held.push_back(from.shared_from_this());
    if (held.size() == 1)
    {
        calls_.up({from.peer, from.announced, from.peer_can_store});
    }
}

void link_hub::on_closed(link& gone)
{
    const auto self = gone.shared_from_this();
    std::erase(links_, self);
    for (auto& [address, entry] : wanted_)
    {
        if (entry.connection == self)
        {
            entry.connection = nullptr;
            entry.dial_at = clock_.now() + redial_pause;
        }
    }
    const auto it = by_peer_.find(gone.peer);
    if (gone.peer.empty() || it == by_peer_.end())
    {
        return;
    }
    std::erase(it->second, self);
    if (it->second.empty())
    {
        by_peer_.erase(it);
        calls_.down({gone.peer, gone.announced, gone.peer_can_store}, gone.close_reason());
    }
}

void link_hub::close_all(const std::string& why)
{
    ticked_at_ = clock_.now();
    const auto links = links_;
    for (const auto& it : links)
    {
        it->close(why);
    }
}

void link_hub::tick()
{
    const auto now = clock_.now();
    if (now > ticked_at_ + longest_stall)
    {
        close_all("the process stood still");
    }
    ticked_at_ = now;
    const auto links = links_;
    for (const auto& it : links)
    {
        if (it->is_closed())
        {
            continue;
        }
        if (!it->is_open())
        {
            if (now > it->created_at() + dial_timeout)
            {
                it->close("no connection within the deadline");
            }
        }
        else if (now > it->heard_at() + silence_limit)
        {
            it->close("silent for too long");
        }
        else if (now >= it->sent_at() + absl::Milliseconds(beat_interval_ms))
        {
            schema::envelope beat;
            beat.mutable_ping();
            it->send(beat);
        }
    }
    std::vector<std::string> due;
    for (auto& [address, entry] : wanted_)
    {
        if (!entry.connection && now >= entry.dial_at)
        {
            due.push_back(address);
        }
    }
    for (const auto& it : due)
    {
        dial(it, wanted_[it]);
    }
}

void link_hub::stop()
{
    boost::system::error_code ec;
    acceptor_.close(ec);
    wanted_.clear();
    close_all("stopping");
}

link_hub::link_ptr link_hub::find(const std::string& peer) const
{
    const auto it = by_peer_.find(peer);
    return it == by_peer_.end() ? nullptr : it->second.back();
}

void link_hub::send(const base::node_name& to, schema::envelope message)
{
    if (const auto it = find(to.value()))
    {
        message.set_hlc(hybrid_.now());
        it->send(message);
    }
}

void link_hub::learn_address(const base::node_name& /*peer*/, const std::string& address)
{
    if (address != options_.address && wanted_.try_emplace(address).second)
    {
        dial(address, wanted_[address]);
    }
}

bool link_hub::is_linked(const std::string& peer) const
{
    return by_peer_.contains(peer);
}

std::vector<link_peer> link_hub::peers() const
{
    std::vector<link_peer> out;
    for (const auto& [name, links] : by_peer_)
    {
        out.push_back({name, links.back()->announced, links.back()->peer_can_store});
    }
    return out;
}

} // namespace savoryreach::net
