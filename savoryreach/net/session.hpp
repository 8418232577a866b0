#ifndef SAVORYREACH_NET_SESSION_HPP
#define SAVORYREACH_NET_SESSION_HPP

#include "schema/generated/wire.pb.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace savoryreach::net
{

/// One end of the reliable in-order stream between an entry epoch and an agent incarnation. It
/// survives the loss of connections: items stay queued until the other end acknowledges them, are
/// resent after a timeout, and duplicates are dropped. The owner sends the frames that poll()
/// returns over an unreliable transport. Not thread-safe.
class session
{
public:
    session(std::uint64_t epoch, std::uint64_t incarnation);

    /// Queues one item for the other end.
    void push(schema::session_item item);
    /// Queues an item that is not urgent: it is sent with the next frame, at \p send_by at the
    /// latest.
    void push_by(schema::session_item item, absl::Time send_by);

    /// Processes a frame from the other end and returns the items now deliverable in order.
    /// A frame of another epoch or incarnation is ignored.
    [[nodiscard]] std::vector<schema::session_item> receive(const schema::session_frame& frame,
                                                            absl::Time now);

    /// The frame to send now, with all unsent items (at most max_items_per_frame), a resend whose
    /// deadline has passed, or a pending acknowledgement; nullopt when there is nothing to send.
    /// Call it until it returns nullopt.
    [[nodiscard]] std::optional<schema::session_frame> poll(absl::Time now);

    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] std::size_t unacknowledged() const { return queue_.size(); }
    /// When poll() has to be called although nothing was pushed; InfiniteFuture when never.
    [[nodiscard]] absl::Time deadline() const
    {
        return std::min({send_by_, resend_at_, acknowledge_at_});
    }

    static constexpr std::size_t max_items_per_frame = 512;
    /// A frame ends after the item that reaches this many payload bytes.
    static constexpr std::size_t max_bytes_per_frame = 1 << 20;
    /// Size of the receive window: items at or beyond this distance from the next expected one are
    /// dropped, and the other end resends them.
    static constexpr std::uint64_t reorder_window = 2 * max_items_per_frame;

private:
    /// Drops the items below \p acknowledged from the queue.
    void acknowledge(std::uint64_t acknowledged, absl::Time now);
    /// A frame with the items from \p first on; includes the pending acknowledgement.
    [[nodiscard]] schema::session_frame make_frame(std::uint64_t first, std::uint64_t end);

    std::uint64_t epoch_;                    ///< epoch of the entry
    std::uint64_t incarnation_;              ///< incarnation of the agent
    std::deque<schema::session_item> queue_; ///< not acknowledged by the other end
    std::uint64_t queue_begin_ = 1;          ///< sequence number of queue_.front()
    std::uint64_t next_unsent_ = 1;          ///< lowest sequence number not sent yet
    std::uint64_t next_expected_ = 1;        ///< next sequence number to deliver
    absl::btree_map<std::uint64_t, schema::session_item> out_of_order_; ///< received out of order
    absl::Time send_by_ = absl::InfiniteFuture();   ///< deadline of the items never sent
    absl::Time resend_at_ = absl::InfiniteFuture(); ///< deadline of the oldest unacknowledged item
    absl::Time acknowledge_at_ = absl::InfiniteFuture(); ///< deadline of a pending acknowledgement
    std::uint32_t resends_ = 0;                          ///< consecutive resends, for the backoff
};

} // namespace savoryreach::net

#endif
