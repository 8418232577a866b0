#ifndef SAVORYREACH_DAEMON_ANSWER_WAITERS_HPP
#define SAVORYREACH_DAEMON_ANSWER_WAITERS_HPP

#include "savoryreach/entry/caller_port.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace savoryreach::daemon
{

/// Passes answers from the control thread to the threads that serve the callers' connections.
class answer_waiters final : public entry::caller_port
{
public:
    /// Registers a new request and returns its id; wait() must follow.
    [[nodiscard]] std::uint64_t open();

    /// Waits for the request's answer until \p deadline (monotonic clock); nullopt on timeout.
    [[nodiscard]] std::optional<schema::job_answer> wait(std::uint64_t request_id,
                                                         absl::Time deadline);

    void answer(std::uint64_t request_id, const schema::job_answer& answer) override;

private:
    struct waiter
    {
        std::condition_variable ready;
        std::optional<schema::job_answer> answer;
    };

    std::mutex mutex_; ///< guards all below
    std::uint64_t last_request_ = 0;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
};

} // namespace savoryreach::daemon

#endif
