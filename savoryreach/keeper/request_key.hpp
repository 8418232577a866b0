#ifndef SAVORYREACH_KEEPER_REQUEST_KEY_HPP
#define SAVORYREACH_KEEPER_REQUEST_KEY_HPP

#include "savoryreach/base/node_name.hpp"

#include <compare>
#include <cstdint>
#include <utility>

namespace savoryreach::keeper
{

/// Identifies a request and the node to reply to. A resent request has the same key.
struct request_key
{
    base::node_name from;
    std::uint64_t request_id = 0;

    friend auto operator<=>(const request_key&, const request_key&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const request_key& key)
    {
        return Hash::combine(std::move(state), key.from, key.request_id);
    }
};

} // namespace savoryreach::keeper

#endif
