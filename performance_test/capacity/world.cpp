#include "performance_test/capacity/world.hpp"

#include "performance_test/capacity/measure.hpp"
#include "savoryreach/net/frame.hpp"

#include <cassert>

namespace savoryreach::capacity
{
namespace
{

/// One way between two hosts; a round trip takes 1 ms.
constexpr absl::Duration one_way = absl::Microseconds(500);
/// A hybrid clock of today: 48 bits of milliseconds above 16 bits of counter; it costs as many
/// bytes on the wire as that of a daemon.
constexpr std::uint64_t present_hlc = std::uint64_t{1'796'364'000'000} << 16U;

class world_transport final : public net::transport
{
public:
    world_transport(world& in, base::node_name node) : world_(in), node_(std::move(node)) {}

    void send(const base::node_name& to, schema::envelope message) override
    {
        world_.send(node_, to, std::move(message));
    }

    void learn_address(const base::node_name&, const std::string&) override {}

private:
    world& world_;
    base::node_name node_;
};

} // namespace

usage& usage::operator+=(const usage& other)
{
    core_s += other.core_s;
    wire_s += other.wire_s;
    sent += other.sent;
    received += other.received;
    bytes_out += other.bytes_out;
    bytes_in += other.bytes_in;
    return *this;
}

usage operator-(const usage& a, const usage& b)
{
    return {a.core_s - b.core_s,     a.wire_s - b.wire_s,       a.sent - b.sent,
            a.received - b.received, a.bytes_out - b.bytes_out, a.bytes_in - b.bytes_in};
}

world_node& world::add(const std::string& name)
{
    auto node = std::make_unique<world_node>();
    node->name = base::node_name(name);
    node->receive = [](const base::node_name&, const schema::envelope&) {
    };
    node->tick = [] {
    };
    // Ticks of different processes do not coincide.
    node->tick_at = clock_.now() + step * static_cast<std::int64_t>(nodes_.size() % 10);
    node->transport = std::make_unique<world_transport>(*this, node->name);
    by_name_[name] = node.get();
    nodes_.push_back(std::move(node));
    return *nodes_.back();
}

void world::send(const base::node_name& from, const base::node_name& to, schema::envelope message)
{
    queue_.push_back({clock_.now() + one_way, from, to, std::move(message)});
}

void world::carry(in_flight item)
{
    const auto sender = by_name_.find(item.from.value());
    const auto receiver = by_name_.find(item.to.value());
    item.message.set_hlc(present_hlc);
    const double begin = thread_seconds();
    std::string frame;
    net::append_frame(frame, item.message);
    const double encoded = thread_seconds();
    if (sender != by_name_.end())
    {
        auto& used = sender->second->used;
        used.wire_s += encoded - begin - clock_overhead();
        ++used.sent;
        used.bytes_out += frame.size();
    }
    if (receiver == by_name_.end())
    {
        return;
    }
    net::frame_decoder decoder;
    const double decode_begin = thread_seconds();
    decoder.feed(frame);
    auto decoded = decoder.next();
    const double decode_end = thread_seconds();
    assert(decoded.has_value());
    auto& used = receiver->second->used;
    used.wire_s += decode_end - decode_begin - clock_overhead();
    ++used.received;
    used.bytes_in += frame.size();
    receiver->second->inbox.emplace_back(item.from, *std::move(decoded));
}

void world::deliver_due()
{
    while (!queue_.empty() && queue_.front().due <= clock_.now())
    {
        auto item = std::move(queue_.front());
        queue_.pop_front();
        carry(std::move(item));
    }
}

void world::run_node(world_node& node)
{
    const auto now = clock_.now();
    if (node.inbox.empty() && node.tick_at > now && node.wake_at > now)
    {
        return;
    }
    if (node.tick_at <= now)
    {
        node.tick_at = now + tick_interval;
    }
    node.wake_at = absl::InfiniteFuture();
    const auto inbox = std::exchange(node.inbox, {});
    const double begin = thread_seconds();
    for (const auto& [from, message] : inbox)
    {
        node.receive(from, message);
    }
    node.tick();
    node.used.core_s += thread_seconds() - begin - clock_overhead();
}

void world::run_for(absl::Duration time)
{
    const auto end = clock_.now() + time;
    while (clock_.now() < end)
    {
        clock_.advance(step);
        deliver_due();
        for (auto& it : nodes_)
        {
            run_node(*it);
        }
    }
}

bool world::run_until(const std::function<bool()>& done, absl::Duration limit)
{
    const auto end = clock_.now() + limit;
    while (!done())
    {
        if (clock_.now() >= end)
        {
            return false;
        }
        run_for(step);
    }
    return true;
}

} // namespace savoryreach::capacity
