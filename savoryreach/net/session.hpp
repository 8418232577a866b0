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
/// sent again after a deadline, and duplicates are dropped. The owner sends the frames that poll()
/// returns over an unreliable transport. Not thread-safe.
class session
{
public:
    session(std::uint64_t epoch, std::uint64_t incarnation);

    /// Queues one item for the other end.
    void push(schema::session_item item);
    /// Queues an item that nobody waits for: it goes with the next frame, at \p send_by at the
    /// latest.
    void push_by(schema::session_item item, absl::Time send_by);

    /// Takes a frame from the other end and returns the items that are now deliverable in order.
    /// A frame of another epoch or incarnation is ignored.
    [[nodiscard]] std::vector<schema::session_item> receive(const schema::session_frame& frame,
                                                            absl::Time now);

    /// The frame to send now, with all unsent items (at most max_items_per_frame), a resend whose
    /// deadline has passed, or an owed acknowledgement; nullopt when there is nothing to send.
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
    /// Items ahead of the next expected one that are kept; those beyond are sent again.
    static constexpr std::uint64_t reorder_window = 2 * max_items_per_frame;

private:
    /// Drops the items below \p acknowledged from the queue.
    void acknowledge(std::uint64_t acknowledged, absl::Time now);
    /// A frame with the items from \p first on; the owed acknowledgement rides along.
    [[nodiscard]] schema::session_frame make_frame(std::uint64_t first, std::uint64_t end);

    std::uint64_t epoch_;                    ///< of the entry
    std::uint64_t incarnation_;              ///< of the agent
    std::deque<schema::session_item> queue_; ///< not acknowledged by the other end
    std::uint64_t queue_begin_ = 1;          ///< sequence number of queue_.front()
    std::uint64_t next_unsent_ = 1;          ///< first sequence number that was never sent
    std::uint64_t next_expected_ = 1;        ///< next sequence number to deliver
    absl::btree_map<std::uint64_t, schema::session_item> early_; ///< received out of order
    absl::Time send_by_ = absl::InfiniteFuture();   ///< deadline of the items never sent
    absl::Time resend_at_ = absl::InfiniteFuture(); ///< deadline of the oldest unacknowledged item
    absl::Time acknowledge_at_ = absl::InfiniteFuture(); ///< deadline of an owed acknowledgement
    std::uint32_t resends_ = 0;                          ///< consecutive resends, for the backoff
};

} // namespace savoryreach::net

#endif
