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
/// after the retry deadline of the refusal would otherwise be treated as a new copy and run,
/// although the caller has not retried. Not thread-safe.
class refused_requests
{
public:
    /// Remembers \p answer when it claims that nothing ran.
    void remember(const base::node_name& from, std::uint64_t request_id,
                  const schema::job_answer& answer, absl::Time now);

    /// The answer to a duplicate of the request; nullopt when no answer was remembered. Until the
    /// retry deadline it is the refusal with the remaining retry time. After the deadline a new
    /// copy may run, so the answer claims `unknown` instead of "not run".
    [[nodiscard]] std::optional<schema::job_answer> find(const base::node_name& from,
                                                         std::uint64_t request_id, absl::Time now);

    /// Upper bound on the delay of a message. A connection without traffic for 2 s is closed and
    /// its queued messages are dropped, so no message is delayed by more than a few seconds.
    static constexpr absl::Duration max_message_delay = absl::Seconds(10);
    /// Maximum number of remembered requests. The oldest are removed first.
    static constexpr std::size_t max_requests = 100'000;

private:
    using key = std::pair<base::node_name, std::uint64_t>;

    struct refused_answer
    {
        schema::job_answer answer;
        absl::Time retry_at; ///< a copy that arrives at or after this time may be a retry
    };

    void expire(absl::Time now);

    absl::flat_hash_map<key, refused_answer> answers_;
    std::deque<std::pair<absl::Time, key>> order_; ///< expiry times of answers_, ascending
};

} // namespace savoryreach::entry

#endif
