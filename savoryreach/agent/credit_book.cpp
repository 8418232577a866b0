#include "savoryreach/agent/credit_book.hpp"

namespace savoryreach::agent
{

void credit_book::open(std::uint64_t epoch)
{
    auto& account = accounts_[epoch];
    if (!account.is_open)
    {
        account.is_open = true;
        account.limit_offset += account.received;
        account.received = 0;
        account.allocator_limit = 0;
        allocator_.session_opened(epoch);
    }
}

void credit_book::close(std::uint64_t epoch)
{
    const auto it = accounts_.find(epoch);
    if (it != accounts_.end() && it->second.is_open)
    {
        it->second.is_open = false;
        allocator_.session_closed(epoch);
    }
}

void credit_book::remove(std::uint64_t epoch)
{
    close(epoch);
    accounts_.erase(epoch);
}

void credit_book::clear()
{
    while (!accounts_.empty())
    {
        remove(accounts_.begin()->first);
    }
}

void credit_book::set_demand(std::uint64_t epoch, std::uint32_t waiting)
{
    const auto it = accounts_.find(epoch);
    if (it != accounts_.end() && it->second.is_open)
    {
        allocator_.set_demand(epoch, waiting);
    }
}

bool credit_book::start_received(std::uint64_t epoch)
{
    auto& account = accounts_[epoch];
    if (!account.is_open || account.received >= account.allocator_limit)
    {
        // The credit was granted before the lease expired; new limits are added to it.
        ++account.limit_offset;
        return false;
    }
    ++account.received;
    allocator_.start_received(epoch);
    return true;
}

std::vector<credit_change> credit_book::rebalance()
{
    std::vector<credit_change> changes;
    for (const auto& change : allocator_.rebalance())
    {
        auto& account = accounts_[change.epoch];
        account.allocator_limit = change.limit;
        const auto limit = account.limit_offset + change.limit;
        if (limit > account.announced_limit)
        {
            account.announced_limit = limit;
            changes.push_back({change.epoch, limit});
        }
    }
    return changes;
}

} // namespace savoryreach::agent
