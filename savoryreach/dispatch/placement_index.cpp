#include "savoryreach/dispatch/placement_index.hpp"

#include <absl/container/btree_map.h>
#include <algorithm>
#include <bit>
#include <utility>

namespace savoryreach::dispatch
{

endpoint_ranking::endpoint_ranking(std::vector<endpoint*> order) : order_(std::move(order))
{
    leaf_count_ = std::bit_ceil(std::max<std::size_t>(order_.size(), 1));
    max_free_.assign(2 * leaf_count_, -1);
    for (std::size_t rank = 0; rank < order_.size(); ++rank)
    {
        update(rank);
    }
}

void endpoint_ranking::update(std::size_t rank)
{
    auto node = leaf_count_ + rank;
    max_free_[node] = order_[rank]->capacity.cpu_milli - order_[rank]->used.cpu_milli;
    for (node /= 2; node > 0; node /= 2)
    {
        max_free_[node] = std::max(max_free_[2 * node], max_free_[2 * node + 1]);
    }
}

std::size_t endpoint_ranking::first_with_free_cpu(std::int64_t cpu_milli, std::size_t from) const
{
    if (from >= order_.size())
    {
        return none;
    }
    // Climbs to the first range to the right that has enough, then descends to its first leaf.
    auto node = leaf_count_ + from;
    while (max_free_[node] < cpu_milli)
    {
        while (node % 2 == 1)
        {
            node /= 2;
        }
        if (node == 0)
        {
            return none;
        }
        ++node;
    }
    while (node < leaf_count_)
    {
        node *= 2;
        node += max_free_[node] < cpu_milli ? 1 : 0;
    }
    return node - leaf_count_;
}

void placement_index::rebuild(endpoint_table& table, const speed_model& speeds)
{
    clear();
    absl::btree_map<std::string, std::vector<std::pair<double, endpoint*>>> by_service;
    for (auto& [host, it] : table.all())
    {
        if (!it->evacuated)
        {
            by_service[it->service].emplace_back(speeds.speed(host), it.get());
        }
    }
    for (auto& [service, endpoints] : by_service)
    {
        std::ranges::stable_sort(
            endpoints, [](const auto& a, const auto& b)
            { return a.first != b.first ? a.first > b.first : a.second->used < b.second->used; });
        std::vector<endpoint*> order;
        for (const auto& [speed, it] : endpoints)
        {
            order.push_back(it);
        }
        auto& ranking = services_[service];
        ranking = std::make_unique<endpoint_ranking>(std::move(order));
        for (std::size_t rank = 0; rank < ranking->size(); ++rank)
        {
            positions_[&ranking->at(rank)] = {ranking.get(), rank};
        }
    }
}

void placement_index::clear()
{
    services_.clear();
    positions_.clear();
}

void placement_index::update(const endpoint& it)
{
    if (const auto found = positions_.find(&it); found != positions_.end())
    {
        found->second.ranking->update(found->second.rank);
    }
}

const endpoint_ranking* placement_index::find(const std::string& service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : it->second.get();
}

} // namespace savoryreach::dispatch
