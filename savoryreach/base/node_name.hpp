#ifndef SAVORYREACH_BASE_NODE_NAME_HPP
#define SAVORYREACH_BASE_NODE_NAME_HPP

#include <compare>
#include <string>
#include <utility>

namespace savoryreach::base
{

/// The name of one process as its settings give it; unique within a cluster.
class node_name
{
public:
    node_name() = default;
    explicit node_name(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    friend auto operator<=>(const node_name&, const node_name&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const node_name& name)
    {
        return Hash::combine(std::move(state), name.value_);
    }

private:
    std::string value_; ///< As configured; never interpreted.
};

} // namespace savoryreach::base

#endif
