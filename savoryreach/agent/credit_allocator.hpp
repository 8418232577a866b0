#ifndef SAVORYREACH_AGENT_CREDIT_ALLOCATOR_HPP
#define SAVORYREACH_AGENT_CREDIT_ALLOCATOR_HPP

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace savoryreach::agent
{

/// An increase of one session's cumulative credit limit.
struct credit_change
{
    std::uint64_t epoch = 0;
    std::uint64_t limit = 0; ///< total starts allowed since the session began

    friend bool operator==(const credit_change&, const credit_change&) = default;
};

/// Divides an agent's slots and a small prefetch among the entry sessions in proportion to their
/// demand. While there are at most as many open sessions as slots, each idle one has at least one
/// credit. Limits never decrease; unused credit of a session counts towards its demand. Not
/// thread-safe.
class credit_allocator
{
public:
    /// \p slots tasks run at once; \p prefetch further starts may wait at the agent.
    credit_allocator(std::uint32_t slots, std::uint32_t prefetch);

    void session_opened(std::uint64_t epoch);
    /// Revokes all unused credit of the session. Its unfinished starts still occupy slots until
    /// start_ended() has been called for each of them.
    void session_closed(std::uint64_t epoch);
    void set_demand(std::uint64_t epoch, std::uint32_t waiting);

    void start_received(std::uint64_t epoch);
    /// Called when a start has ended, was rejected or was discarded.
    void start_ended(std::uint64_t epoch);

    /// While true no credit is granted.
    void set_draining(bool draining);

    /// Returns the limits that increase now; empty when there are none.
    [[nodiscard]] std::vector<credit_change> rebalance();

private:
    struct session
    {
        std::uint64_t limit = 0;      ///< credit granted since the session began
        std::uint64_t received = 0;   ///< starts received since the session began
        std::uint32_t unfinished = 0; ///< received starts that have not ended
        std::uint32_t demand = 0;     ///< tasks waiting at the entry
        bool open = false;            ///< a closed session is kept while it has unfinished starts
    };

    std::uint32_t slots_;    ///< maximum number of running starts
    std::uint32_t prefetch_; ///< further starts that may wait at the agent
    bool draining_ = false;  ///< grants no new credit
    absl::btree_map<std::uint64_t, session> sessions_; ///< by epoch, for deterministic tie-breaking
};

} // namespace savoryreach::agent

#endif
