#ifndef SAVORYREACH_AGENT_CREDIT_BOOK_HPP
#define SAVORYREACH_AGENT_CREDIT_BOOK_HPP

#include "savoryreach/agent/credit_allocator.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace savoryreach::agent
{

/// Maintains the cumulative credit limits of sessions when leases expire and are regained. The
/// allocator restarts its counts when a session reopens, while the entry counts from the beginning
/// of the session; this class converts between the two.
class credit_book
{
public:
    credit_book(std::uint32_t slots, std::uint32_t prefetch) : allocator_(slots, prefetch) {}

    /// Called when the session's lease has become valid.
    void open(std::uint64_t epoch);
    /// Called when the session's lease has expired; its unused credit becomes available to the
    /// other sessions.
    void close(std::uint64_t epoch);
    /// Removes a session that will not reopen.
    void remove(std::uint64_t epoch);
    /// Removes all sessions.
    void clear();

    void set_demand(std::uint64_t epoch, std::uint32_t waiting);
    /// Returns false when the start used credit granted before the lease expired, or no credit;
    /// then start_ended() must not be called for it.
    [[nodiscard]] bool start_received(std::uint64_t epoch);
    /// May be called after the session has closed.
    void start_ended(std::uint64_t epoch) { allocator_.start_ended(epoch); }
    void set_draining() { allocator_.set_draining(true); }

    /// Returns the increased limits to announce to the entries, counted since the session began.
    [[nodiscard]] std::vector<credit_change> rebalance();

private:
    struct account
    {
        bool is_open = false;
        std::uint64_t limit_offset = 0;    ///< starts that the allocator doesn't count
        std::uint64_t received = 0;        ///< starts counted since the last opening
        std::uint64_t allocator_limit = 0; ///< the allocator's limit since the last opening
        std::uint64_t announced_limit = 0; ///< highest limit announced to the entry
    };

    credit_allocator allocator_;
    absl::btree_map<std::uint64_t, account> accounts_; ///< by epoch
};

} // namespace savoryreach::agent

#endif
