#ifndef SAVORYREACH_ENTRY_SHARE_SCHEDULE_HPP
#define SAVORYREACH_ENTRY_SHARE_SCHEDULE_HPP

#include <absl/container/btree_set.h>
#include <absl/functional/function_ref.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::entry
{

/// One level of start-time fair queueing: shares with weights compete for slot time. Each share has
/// a start tag in virtual seconds (slot seconds divided by weight); the share with the lowest tag,
/// less its advance for urgency, is served next. A share that becomes active starts no earlier than
/// the schedule's virtual time, so an idle share accumulates no credit. Not thread-safe.
class share_schedule
{
public:
    using id = std::uint32_t;

    /// Sets the weight of a share; unknown shares have weight 1.
    void set_weight(id share, double weight);

    /// Sets how far ahead of its tag the share is served, in slot seconds.
    void set_advance(id share, double slot_seconds);

    /// A share competes while it is active.
    void activate(id share);
    void deactivate(id share);

    /// The active share to serve next among those that \p is_eligible accepts.
    [[nodiscard]] std::optional<id> pick(absl::FunctionRef<bool(id)> is_eligible);
    [[nodiscard]] std::optional<id> pick();

    /// Charges slot seconds to a share; a negative amount is a refund of an earlier charge.
    void charge(id share, double slot_seconds);

    [[nodiscard]] bool empty() const { return by_key_.empty(); }
    [[nodiscard]] bool is_active(id share) const;
    /// Fraction that \p share has, or would have if it became active now. \p new_weight is the
    /// weight of a share that this schedule does not know yet.
    [[nodiscard]] double fraction(id share, double new_weight) const;

private:
    struct share_state
    {
        double weight = 1;
        double start = 0;     ///< start tag of the next task, virtual seconds
        double min_start = 0; ///< lower bound of the start tag after refunds; set at activation
        double advance = 0;   ///< slot seconds
        bool active = false;
    };

    using share_order = absl::btree_set<std::pair<double, id>>;

    share_state& at(id share);
    void insert_ordered(id share);
    void erase_ordered(id share);
    void move_start(id share, double start);

    std::vector<share_state> shares_; ///< by id
    share_order by_key_;              ///< active shares by start tag less advance
    share_order by_start_;            ///< active shares by start tag
    double virtual_time_ = 0;         ///< lowest start tag served in this busy period
    double highest_finish_ = 0;       ///< virtual time at the end of the busy period
    double active_weight_ = 0;        ///< sum over active shares
};

} // namespace savoryreach::entry

#endif
