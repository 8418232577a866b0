#ifndef SAVORYREACH_DISPATCH_TASK_ID_HPP
#define SAVORYREACH_DISPATCH_TASK_ID_HPP

#include "schema/generated/dispatch.pb.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace savoryreach::dispatch
{

/// Identifies one task of a job. All runs of the task share this id.
struct task_id
{
    std::uint64_t job = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const task_id& id)
    {
        return Hash::combine(std::move(state), id.job, id.step, id.index);
    }
};

[[nodiscard]] inline task_id task_id_of(const schema::task_key& key)
{
    return {key.job(), key.step(), key.index()};
}

inline void set_key(schema::task_key& key, const task_id& id)
{
    key.set_job(id.job);
    key.set_step(id.step);
    key.set_index(id.index);
}

/// Length of a job id as text.
inline constexpr std::size_t job_id_digits = 16;

/// Formats a job id for logs and callers: hexadecimal digits.
[[nodiscard]] std::string format_job_id(std::uint64_t job);
/// Parses the job id that follows \p prefix in \p path; false when the path has another form.
[[nodiscard]] bool parse_job_id(std::string_view path, std::string_view prefix, std::uint64_t& id);

} // namespace savoryreach::dispatch

#endif
