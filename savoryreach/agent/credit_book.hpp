#ifndef SAVORYREACH_AGENT_CREDIT_BOOK_HPP
#define SAVORYREACH_AGENT_CREDIT_BOOK_HPP

#include "savoryreach/agent/credit_allocator.hpp"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <vector>

namespace savoryreach::agent
{

/// Keeps the cumulative credit limits of sessions across lost and regained leases. The allocator
/// forgets a session whose lease has expired; the entry goes on counting since the session began.
class credit_book
{
public:
    credit_book(std::uint32_t slots, std::uint32_t prefetch) : allocator_(slots, prefetch) {}

    /// The session's lease has become valid.
    void open(std::uint64_t epoch);
    /// The session's lease has expired; its unused credit goes to the others.
    void close(std::uint64_t epoch);
    /// The session is gone for good.
    void remove(std::uint64_t epoch);
    /// All sessions are gone for good.
    void clear();

    void set_demand(std::uint64_t epoch, std::uint32_t waiting);
    /// False when the start used credit from before the lease was lost, or none; start_ended is
    /// then not called for it.
    [[nodiscard]] bool start_received(std::uint64_t epoch);
    /// Also after the session has closed.
    void start_ended(std::uint64_t epoch) { allocator_.start_ended(epoch); }
    void set_draining() { allocator_.set_draining(true); }

    /// The limits to announce now, counted since the session began.
    [[nodiscard]] std::vector<credit_change> rebalance();

private:
    struct account
    {
        bool is_open = false;
        std::uint64_t limit_offset = 0;    ///< starts that the allocator does not count
        std::uint64_t received = 0;        ///< starts counted since the last opening
        std::uint64_t allocator_limit = 0; ///< limit of the allocator since the last opening
        std::uint64_t announced_limit = 0; ///< highest limit told to the entry
    };

    credit_allocator allocator_;
    absl::btree_map<std::uint64_t, account> accounts_; ///< by epoch
};

} // namespace savoryreach::agent

#endif
