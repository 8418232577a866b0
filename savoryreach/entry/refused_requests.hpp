#ifndef SAVORYREACH_ENTRY_REFUSED_REQUESTS_HPP
#define SAVORYREACH_ENTRY_REFUSED_REQUESTS_HPP

#include "savoryreach/base/node_name.hpp"
#include "schema/generated/job.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace savoryreach::entry
{

/// Forwarded requests that were answered with "not run". A duplicate that the network delivers
/// after the refusal's retry deadline would otherwise be taken for a new copy and run, although its
/// caller sent nothing after the refusal. Not thread-safe.
class refused_requests
{
public:
    /// Remembers \p answer when it claims that nothing ran.
    void remember(const base::node_name& from, std::uint64_t request_id,
                  const schema::job_answer& answer, absl::Time now);

    /// What to answer to another arrival of the same request; nullopt when none was remembered.
    /// Until the refusal's retry deadline that is the refusal with the time that is left.
    /// Afterwards a new copy may run, so that nothing is claimed any more.
    [[nodiscard]] std::optional<schema::job_answer> find(const base::node_name& from,
                                                         std::uint64_t request_id, absl::Time now);

    /// A connection that is silent for 2 s is closed with all it holds, so no message is delayed
    /// for longer than a few seconds.
    static constexpr absl::Duration longest_delay = absl::Seconds(10);
    /// Bound on the requests that are remembered; the oldest are forgotten first.
    static constexpr std::size_t max_requests = 100'000;

private:
    using key = std::pair<base::node_name, std::uint64_t>;

    struct refused_answer
    {
        schema::job_answer answer;
        absl::Time retry_at; ///< a copy that arrives from then on is a new try
    };

    void expire(absl::Time now);

    absl::flat_hash_map<key, refused_answer> answers_;
    std::deque<std::pair<absl::Time, key>> order_; ///< deadlines of answers_, ascending
};

} // namespace savoryreach::entry

#endif
