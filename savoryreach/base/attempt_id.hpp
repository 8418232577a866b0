#ifndef SAVORYREACH_BASE_ATTEMPT_ID_HPP
#define SAVORYREACH_BASE_ATTEMPT_ID_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace savoryreach::base
{

/// Identifies one start of one task.
struct attempt_id
{
    std::string submission_id;
    std::uint32_t task = 0;    ///< index within the submission
    std::uint32_t attempt = 0; ///< 0 for the first start

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const attempt_id& id)
    {
        return Hash::combine(std::move(state), id.submission_id, id.task, id.attempt);
    }
};

} // namespace savoryreach::base

#endif
