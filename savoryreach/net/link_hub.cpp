#include "savoryreach/net/link_hub.hpp"

#include "savoryreach/net/address.hpp"

#include <algorithm>

namespace savoryreach::net
{
namespace
{

/// A link that receives nothing for this long is replaced: a connection may stop delivering data
/// permanently without an error.
constexpr auto silence_limit = absl::Milliseconds(1200);
/// Timeout for establishing a connection; a round trip takes 2 ms.
constexpr auto dial_timeout = absl::Milliseconds(600);
/// Delay before a lost or refused connection is dialled again.
constexpr auto redial_delay = absl::Milliseconds(150);

/// A process whose last tick is longer ago than this is considered to have been suspended. Shorter
/// than the silence limit, so that it accepts no order that the peer has already given up.
constexpr auto suspension_threshold = absl::Milliseconds(900);

/// A peer that has taken nothing of a write for this long is disconnected.
constexpr auto write_limit = absl::Seconds(10);
/// Longest message before the hello, which has a name and an address; bytes.
constexpr std::size_t max_hello_bytes = 65536;
/// Accepted links whose hello has not arrived; a deployment's processes may all connect at once.
constexpr std::size_t max_unknown_links = 256;
/// Accepted links; more than a deployment has processes.
constexpr std::size_t max_accepted_links = 1024;

constexpr std::uint32_t protocol_version = 2;

} // namespace

link_hub::link_hub(boost::asio::io_context& io, options config, callbacks handlers,
                   const base::clock& clock, observe::hybrid_clock& hybrid)
    : io_(io), options_(std::move(config)), handlers_(std::move(handlers)), clock_(clock),
      hybrid_(hybrid), listener_(io, {.accepted = [this](boost::asio::ip::tcp::socket socket)
                                      { on_accepted(std::move(socket)); },
                                      .failing =
                                          [this](const std::string& reason)
                                      {
                                          handlers_.accept_failing(reason);
                                      }}),
      memory_(options_.memory_bytes), last_tick_at_(absl::InfiniteFuture()),
      incarnation_(static_cast<std::uint64_t>(absl::ToUnixNanos(clock.wall_now())))
{
}

std::optional<std::string> link_hub::start()
{
    if (options_.address.empty())
    {
        return std::nullopt;
    }
    return listener_.listen(options_.address);
}

void link_hub::on_accepted(boost::asio::ip::tcp::socket socket)
{
    if (!make_room())
    {
        boost::system::error_code ec;
        const auto from = socket.remote_endpoint(ec);
        handlers_.rejected("too_many", ec ? "unknown" : from.address().to_string());
        return;
    }
    auto it = std::make_shared<link>(std::move(socket), link_callbacks(), clock_);
    it->charge = memory_.add();
    it->limit_frames(max_hello_bytes);
    links_.push_back(it);
    it->start();
    send_hello(*it);
}

bool link_hub::make_room()
{
    const auto is_accepted = [](const link_ptr& it)
    {
        return it->address.empty();
    };
    const auto is_unknown = [&](const link_ptr& it)
    {
        return is_accepted(it) && it->peer.empty();
    };
    const auto oldest_unknown = std::ranges::find_if(links_, is_unknown);
    const auto accepted = std::ranges::count_if(links_, is_accepted);
    const auto unknown = std::ranges::count_if(links_, is_unknown);
    if (accepted < static_cast<std::ptrdiff_t>(max_accepted_links) &&
        unknown < static_cast<std::ptrdiff_t>(max_unknown_links))
    {
        return true;
    }
    if (oldest_unknown == links_.end())
    {
        return false;
    }
    const auto closed = *oldest_unknown;
    reject(*closed, "too_many");
    return true;
}

void link_hub::reject(link& it, const std::string& cause)
{
    handlers_.rejected(cause, it.remote_ip());
    it.close("rejected: " + cause);
}

bool link_hub::on_keeps(link& it, std::size_t bytes)
{
    if (it.charge == 0)
    {
        return true; // dialled by this process
    }
    const auto out = memory_.request(it.charge, bytes);
    for (const auto closed : out.to_close)
    {
        const auto found = std::ranges::find_if(links_, [&](const link_ptr& any)
                                                { return any->charge == closed; });
        if (found != links_.end())
        {
            const auto held = *found;
            reject(*held, "memory");
        }
    }
    if (!out.granted)
    {
        handlers_.rejected("memory", it.remote_ip());
    }
    return out.granted;
}

link::callbacks link_hub::link_callbacks()
{
    return {.opened = [this](link& it) { send_hello(it); },
            .received = [this](link& it, const schema::envelope& message)
            { on_received(it, message); },
            .closed = [this](link& it) { on_closed(it); },
            .keeps =
                [this](link& it, std::size_t bytes)
            {
                return on_keeps(it, bytes);
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
            connection->close("address is no longer wanted");
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

void link_hub::dial(const std::string& address, wanted_link& wanted)
{
    const auto to = parse_address(address);
    wanted.dial_at = clock_.now() + redial_delay;
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
    wanted.connection = it;
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
    if (clock_.now() > last_tick_at_ + suspension_threshold)
    {
        // The process was suspended: messages left in its socket buffers may be out of date.
        close_all("this process was suspended");
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
    handlers_.received({from.peer, from.peer_address, from.peer_can_store}, message);
}

void link_hub::on_hello(link& from, const schema::hello& hello)
{
    if (!from.peer.empty() || hello.protocol_version() != protocol_version || hello.node().empty())
    {
        return;
    }
    from.limit_frames(max_frame_bytes);
    from.peer = hello.node();
    from.peer_address = hello.address();
    from.peer_can_store = hello.can_store();
    // A new connection replaces an older one in the same direction, which the peer has given up.
    if (const auto it = links_by_peer_.find(from.peer); it != links_by_peer_.end())
    {
        const auto peer_links = it->second;
        for (const auto& old : peer_links)
        {
            if (old->address.empty() == from.address.empty())
            {
                old->close("replaced by a newer connection");
            }
        }
    }
    auto& peer_links = links_by_peer_[from.peer];
    peer_links.push_back(from.shared_from_this());
    if (peer_links.size() == 1)
    {
        handlers_.up({from.peer, from.peer_address, from.peer_can_store});
    }
}

void link_hub::on_closed(link& closed_link)
{
    const auto self = closed_link.shared_from_this();
    std::erase(links_, self);
    memory_.remove(closed_link.charge);
    for (auto& [address, entry] : wanted_)
    {
        if (entry.connection == self)
        {
            entry.connection = nullptr;
            entry.dial_at = clock_.now() + redial_delay;
        }
    }
    const auto it = links_by_peer_.find(closed_link.peer);
    if (closed_link.peer.empty() || it == links_by_peer_.end())
    {
        return;
    }
    std::erase(it->second, self);
    if (it->second.empty())
    {
        links_by_peer_.erase(it);
        handlers_.down({closed_link.peer, closed_link.peer_address, closed_link.peer_can_store},
                       closed_link.close_reason());
    }
}

void link_hub::close_all(const std::string& reason)
{
    last_tick_at_ = clock_.now();
    const auto links = links_;
    for (const auto& it : links)
    {
        it->close(reason);
    }
}

void link_hub::tick()
{
    const auto now = clock_.now();
    if (now > last_tick_at_ + suspension_threshold)
    {
        close_all("this process was suspended");
    }
    last_tick_at_ = now;
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
                it->close("connection attempt timed out");
            }
        }
        else if (now > it->heard_at() + silence_limit)
        {
            it->close("silent for too long");
        }
        else if (now > it->created_at() + silence_limit && it->charge != 0 && it->peer.empty())
        {
            reject(*it, "no_hello");
        }
        else if (now > it->writing_since() + write_limit)
        {
            it->close("the peer takes no messages");
        }
        else if (now >= it->sent_at() + absl::Milliseconds(heartbeat_interval_ms))
        {
            schema::envelope heartbeat;
            heartbeat.mutable_ping();
            it->send(heartbeat);
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
    listener_.close();
    wanted_.clear();
    close_all("stopping");
}

link_hub::link_ptr link_hub::find(const std::string& peer) const
{
    const auto it = links_by_peer_.find(peer);
    return it == links_by_peer_.end() ? nullptr : it->second.back();
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
    return links_by_peer_.contains(peer);
}

absl::Time link_hub::heard_at(const std::string& peer) const
{
    auto out = absl::InfinitePast();
    if (const auto it = links_by_peer_.find(peer); it != links_by_peer_.end())
    {
        for (const auto& connection : it->second)
        {
            out = std::max(out, connection->heard_at());
        }
    }
    return out;
}

std::size_t link_hub::queued_bytes(const std::string& peer) const
{
    const auto it = find(peer);
    return it ? it->queued_bytes() : 0;
}

std::vector<link_peer> link_hub::peers() const
{
    std::vector<link_peer> out;
    for (const auto& [name, links] : links_by_peer_)
    {
        out.push_back({name, links.back()->peer_address, links.back()->peer_can_store});
    }
    return out;
}

void link_hub::write_metrics(observe::metrics& out) const
{
    constexpr const char* service = "links";
    out.gauge_of("savoryreach_connections", "connections that are open", {{"service", service}}) =
        static_cast<double>(links_.size());
    out.gauge_of("savoryreach_connections_memory_bytes", "memory that connections keep",
                 {{"service", service}}) = static_cast<double>(memory_.used());
    out.gauge_of("savoryreach_connections_memory_limit_bytes", "memory that connections may keep",
                 {{"service", service}}) = static_cast<double>(memory_.limit());
    listener_.write_metrics(out, service);
}

} // namespace savoryreach::net
