#include "tests/simulation/fake_network.hpp"

namespace savoryreach::simulation
{
namespace
{

/// Sends for one node.
class node_transport final : public net::transport
{
public:
    node_transport(fake_network& network, base::node_name node)
        : network_(network), node_(std::move(node))
    {
    }

    void send(const base::node_name& to, schema::envelope message) override
    {
        network_.send(node_, to, std::move(message));
    }

    void learn_address(const base::node_name&, const std::string&) override {}

private:
    fake_network& network_;
    base::node_name node_;
};

} // namespace

void fake_network::attach(const base::node_name& node, handler deliver)
{
    nodes_[node] = node_entry{std::move(deliver), ++incarnations_};
}

void fake_network::detach(const base::node_name& node)
{
    nodes_.erase(node);
}

std::unique_ptr<net::transport> fake_network::transport_of(const base::node_name& node)
{
    return std::make_unique<node_transport>(*this, node);
}

void fake_network::cut(const base::node_name& from, const base::node_name& to)
{
    cuts_.emplace(from, to);
}

void fake_network::mend(const base::node_name& from, const base::node_name& to)
{
    cuts_.erase({from, to});
}

void fake_network::isolate(const base::node_name& node)
{
    isolated_.insert(node);
}

void fake_network::rejoin(const base::node_name& node)
{
    isolated_.erase(node);
}

void fake_network::mend_all()
{
    cuts_.clear();
    isolated_.clear();
}

bool fake_network::is_cut(const base::node_name& from, const base::node_name& to) const
{
    return isolated_.contains(from) || isolated_.contains(to) || cuts_.contains({from, to});
}

absl::Duration fake_network::draw_delay()
{
    const auto spread = faults_.max_delay - faults_.min_delay;
    auto delay = faults_.min_delay + spread * random_.unit();
    if (faults_.long_delay > 0 && random_.unit() < faults_.long_delay)
    {
        delay += faults_.max_long_delay * random_.unit();
    }
    return delay;
}

void fake_network::schedule(const in_flight& message)
{
    queue_.emplace(std::pair(clock_.now() + draw_delay(), ++sequence_), message);
}

void fake_network::send(const base::node_name& from, const base::node_name& to,
                        schema::envelope message)
{
    ++sent_;
    const auto it = nodes_.find(to);
    if (it == nodes_.end() || is_cut(from, to) ||
        (faults_.loss > 0 && random_.unit() < faults_.loss))
    {
        return;
    }
    const in_flight item{from, to, std::move(message), it->second.incarnation};
    schedule(item);
    if (faults_.duplication > 0 && random_.unit() < faults_.duplication)
    {
        schedule(item);
    }
}

absl::Time fake_network::next_delivery() const
{
    return queue_.empty() ? absl::InfiniteFuture() : queue_.begin()->first.first;
}

void fake_network::deliver_due()
{
    while (!queue_.empty() && queue_.begin()->first.first <= clock_.now())
    {
        const auto item = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        const auto it = nodes_.find(item.to);
        if (it == nodes_.end() || it->second.incarnation != item.incarnation ||
            is_cut(item.from, item.to))
        {
            continue;
        }
        ++delivered_;
        // The handler may detach or replace its own node.
        const auto deliver = it->second.deliver;
        deliver(item.from, item.message);
    }
}

} // namespace savoryreach::simulation
