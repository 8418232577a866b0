#ifndef SAVORYREACH_DISPATCH_EVACUATION_ORDERS_HPP
#define SAVORYREACH_DISPATCH_EVACUATION_ORDERS_HPP

#include "savoryreach/dispatch/fleet_store.hpp"
#include "savoryreach/dispatch/job.hpp"
#include "schema/generated/dispatch.pb.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace savoryreach::dispatch
{

/// An operator's order to begin or end the evacuation of a data centre, as a front passes it on.
struct evacuation_order
{
    request_ref origin;
    std::string data_centre;
    bool ends = false;
    absl::Time given_up_at; ///< when the front answers the operator without a result
    absl::Time stamped_at;  ///< stamp that the front repeats; infinite past if it has none

    friend bool operator==(const evacuation_order&, const evacuation_order&) = default;
};

/// What the dispatcher does with an order.
enum class order_step
{
    drop,        ///< the front has given it up: the operator may have ordered something else since
    confirm,     ///< ask the front whether it still holds the order
    acknowledge, ///< the state in force is the wanted one
    await,       ///< the same change is in the log already and not yet applied
    propose,
};

/// Decides on the operator's orders to begin and end evacuations.
///
/// Load pattern: orders in quick succession, some sent again by the operator or by a front, while
/// links and hosts fail, so that copies arrive late. A late copy must not undo a newer order. A
/// copy is late once its front has answered the operator or the operator has closed its connection.
/// A message may be in transit for as long as a link is silent, so an order is taken only within
/// max_confirm_time of a stamp that its front has repeated while it held the order.
class evacuation_orders
{
public:
    [[nodiscard]] order_step decide(const evacuation_order& it, const fleet_store& store,
                                    absl::Time now) const;
    /// The change that \p it asks for is entry \p index of the log.
    void on_proposed(const evacuation_order& it, std::uint64_t index);
    /// The same change as \p it asks for is in the log: it is acknowledged with that one.
    void on_awaited(const evacuation_order& it);
    /// The entries up to \p index have been applied. Returns the orders that they carry out.
    [[nodiscard]] std::vector<request_ref> on_applied(std::uint64_t index);
    void clear() { pending_.clear(); }

    /// Time from a stamp to its repetition within which an order is taken: a few round trips of a
    /// loaded dispatcher.
    static constexpr absl::Duration max_confirm_time = absl::Milliseconds(300);

private:
    struct pending_change
    {
        std::uint64_t index = 0;
        std::string data_centre;
        bool ends = false;
        std::vector<request_ref> origins;
    };

    /// The newest change of the data centre in the log that is not applied; null if there is none.
    [[nodiscard]] const pending_change* find_newest(const std::string& data_centre) const;

    std::vector<pending_change> pending_; ///< by index
};

} // namespace savoryreach::dispatch

#endif
