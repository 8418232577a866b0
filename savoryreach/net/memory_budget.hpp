#ifndef SAVORYREACH_NET_MEMORY_BUDGET_HPP
#define SAVORYREACH_NET_MEMORY_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace savoryreach::net
{

/// Counts the bytes that connections make a process keep, and decides which of them are closed when
/// these exceed a limit. Answers many senders of bytes without end, each of them within the limits
/// of one connection: the largest holders make room, the newest of equal ones first, so that short
/// requests go on.
class memory_budget
{
public:
    using id = std::uint64_t;

    struct decision
    {
        bool granted = false;
        std::vector<id> to_close; ///< these are removed already

        friend bool operator==(const decision&, const decision&) = default;
    };

    explicit memory_budget(std::size_t limit_bytes) : limit_(limit_bytes) {}

    /// A holder of nothing.
    [[nodiscard]] id add() { return ++last_id_; }
    /// Asks for \p bytes in place of what \p holder has, before they are stored. Larger holders
    /// make room, unless they are kept. Without a grant the holder has what it had.
    [[nodiscard]] decision request(id holder, std::size_t bytes);
    /// Sets what \p holder has, without a decision; it makes no room for others from now on.
    void keep(id holder, std::size_t bytes);
    void remove(id holder);

    void set_limit(std::size_t bytes) { limit_ = bytes; }
    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t used() const { return used_; }

private:
    struct holding
    {
        std::size_t bytes = 0;
        bool kept = false;
    };

    void set(id holder, holding value);

    std::size_t limit_;
    std::size_t used_ = 0;
    id last_id_ = 0;
    std::map<id, holding> holdings_;
    std::set<std::pair<std::size_t, id>> by_size_; ///< those that may make room
};

} // namespace savoryreach::net

#endif
