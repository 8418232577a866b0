#ifndef SAVORYREACH_DISPATCH_TASK_ID_HPP
#define SAVORYREACH_DISPATCH_TASK_ID_HPP

#include "schema/generated/dispatch.pb.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace savoryreach::dispatch
{

/// Names one task of a job. The same task keeps its name over all its runs.
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

inline void fill(schema::task_key& key, const task_id& id)
{
    key.set_job(id.job);
    key.set_step(id.step);
    key.set_index(id.index);
}

/// The id of a job as logs and callers write it: 16 hexadecimal digits.
[[nodiscard]] std::string format_job_id(std::uint64_t job);
/// Reads the id behind \p prefix in \p path; false when it is none.
[[nodiscard]] bool parse_job_id(std::string_view path, std::string_view prefix, std::uint64_t& id);

} // namespace savoryreach::dispatch

#endif
