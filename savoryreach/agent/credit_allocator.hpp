#ifndef SAVORYREACH_AGENT_CREDIT_ALLOCATOR_HPP
#define SAVORYREACH_AGENT_CREDIT_ALLOCATOR_HPP

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace savoryreach::agent
{

/// A raise of one session's cumulative credit limit.
struct credit_change
{
    std::uint64_t epoch = 0;
    std::uint64_t limit = 0; ///< starts allowed since the session began

    friend bool operator==(const credit_change&, const credit_change&) = default;
};

/// Divides an agent's slots and a small prefetch among the entry sessions by their demand, with a
/// floor for each live session. Limits never decrease; a session that has unused credit gets no
/// more. Not thread-safe.
class credit_allocator
{
public:
    /// \p slots run at once; \p prefetch more starts may wait at the agent.
    credit_allocator(std::uint32_t slots, std::uint32_t prefetch);

    void session_opened(std::uint64_t epoch);
    /// Takes back all unused credit of the session. Its unfinished starts still occupy slots until
    /// start_ended() has been called for each of them.
    void session_closed(std::uint64_t epoch);
    void set_demand(std::uint64_t epoch, std::uint32_t waiting);

    void start_received(std::uint64_t epoch);
    /// A start ended, was given back or was discarded.
    void start_ended(std::uint64_t epoch);

    /// While true no credit is granted.
    void set_draining(bool draining);

    /// The limits to raise now; empty when nothing changes.
    [[nodiscard]] std::vector<credit_change> rebalance();

private:
    struct session
    {
        std::uint64_t limit = 0;      ///< credit granted since the session began
        std::uint64_t received = 0;   ///< starts received since the session began
        std::uint32_t unfinished = 0; ///< starts received that have not ended
        std::uint32_t demand = 0;     ///< tasks waiting at the entry
        bool open = false;            ///< a closed session is kept while it has unfinished starts
    };

    std::uint32_t slots_;                              ///< starts that run at once
    std::uint32_t prefetch_;                           ///< starts that may wait here
    bool draining_ = false;                            ///< no new credit
    absl::btree_map<std::uint64_t, session> sessions_; ///< by epoch, so that ties are reproducible
};

} // namespace savoryreach::agent

#endif
