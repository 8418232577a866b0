#ifndef SAVORYREACH_DISPATCH_PLACEMENT_INDEX_HPP
#define SAVORYREACH_DISPATCH_PLACEMENT_INDEX_HPP

#include "savoryreach/dispatch/endpoint_table.hpp"
#include "savoryreach/dispatch/speed_model.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// The endpoints of one service, fastest first. Finds the first one with enough free cores in
/// logarithmic time: a segment tree over the order holds the maximum of free cores in each range.
class endpoint_ranking
{
public:
    static constexpr std::size_t none = SIZE_MAX;

    explicit endpoint_ranking(std::vector<endpoint*> order);

    [[nodiscard]] std::size_t size() const { return order_.size(); }
    [[nodiscard]] endpoint& at(std::size_t rank) const { return *order_[rank]; }
    /// Lowest rank, starting at \p from, with \p cpu_milli free, or none.
    [[nodiscard]] std::size_t first_with_free_cpu(std::int64_t cpu_milli, std::size_t from) const;
    /// Updates the tree after a change of the free cores of the endpoint at \p rank.
    void update(std::size_t rank);

private:
    std::vector<endpoint*> order_;
    std::size_t leaf_count_ = 1;         ///< power of two
    std::vector<std::int64_t> max_free_; ///< maximum of free cores, thousandths; node 1 is the root
};

/// The rankings of all services. The order is rebuilt at intervals only, since speeds change
/// slowly; the free cores are always up to date. Invalid from the erasure of an endpoint until the
/// next rebuild.
class placement_index
{
public:
    void rebuild(endpoint_table& table, const speed_model& speeds);
    void clear();
    /// To be called after a run was added to or removed from \p it.
    void update(const endpoint& it);
    /// Null for a service without endpoints.
    [[nodiscard]] const endpoint_ranking* find(const std::string& service) const;

private:
    struct position
    {
        endpoint_ranking* ranking = nullptr;
        std::size_t rank = 0;
    };

    absl::flat_hash_map<std::string, std::unique_ptr<endpoint_ranking>> services_;
    absl::flat_hash_map<const endpoint*, position> positions_;
};

} // namespace savoryreach::dispatch

#endif
