#include "savoryreach/net/session.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace savoryreach::net
{
namespace
{

/// Longer than several round trips plus the acknowledgement delay, so that only a loss causes a
/// resend.
constexpr absl::Duration initial_resend_delay = absl::Milliseconds(200);
constexpr absl::Duration max_resend_delay = absl::Seconds(2);
/// Long enough to piggyback most acknowledgements on data, far below initial_resend_delay. A
/// session with a few dozen tasks per second has a frame each way within this time.
constexpr absl::Duration acknowledgement_delay = absl::Milliseconds(80);

absl::Duration resend_delay(std::uint32_t resends)
{
    const auto doublings = std::min<std::uint32_t>(resends, 10);
    return std::min(initial_resend_delay * (1 << doublings), max_resend_delay);
}

} // namespace

session::session(std::uint64_t epoch, std::uint64_t incarnation)
    : epoch_(epoch), incarnation_(incarnation)
{
}

void session::push(schema::session_item item)
{
    push_by(std::move(item), absl::InfinitePast());
}

void session::push_by(schema::session_item item, absl::Time send_by)
{
    queue_.push_back(std::move(item));
    send_by_ = std::min(send_by_, send_by);
}

void session::acknowledge(std::uint64_t acknowledged, absl::Time now)
{
    if (acknowledged <= queue_begin_ || acknowledged > next_unsent_)
    {
        return;
    }
    queue_.erase(queue_.begin(),
                 queue_.begin() + static_cast<std::ptrdiff_t>(acknowledged - queue_begin_));
    queue_begin_ = acknowledged;
    resends_ = 0;
    resend_at_ = queue_begin_ < next_unsent_ ? now + resend_delay(0) : absl::InfiniteFuture();
}

std::vector<schema::session_item> session::receive(const schema::session_frame& frame,
                                                   absl::Time now)
{
    std::vector<schema::session_item> delivered;
    if (frame.epoch() != epoch_ || frame.incarnation() != incarnation_)
    {
        return delivered;
    }
    acknowledge(frame.acknowledged(), now);
    if (frame.items().empty())
    {
        return delivered;
    }
    // A frame of duplicates is acknowledged too: the acknowledgement may have been lost.
    acknowledge_at_ = std::min(acknowledge_at_, now + acknowledgement_delay);
    auto sequence = frame.first_sequence();
    for (const auto& item : frame.items())
    {
        if (sequence == next_expected_)
        {
            delivered.push_back(item);
            ++next_expected_;
        }
        else if (sequence > next_expected_ && sequence - next_expected_ < reorder_window)
        {
            out_of_order_.try_emplace(sequence, item);
        }
        ++sequence;
    }
    while (!out_of_order_.empty() && out_of_order_.begin()->first <= next_expected_)
    {
        if (out_of_order_.begin()->first == next_expected_)
        {
            delivered.push_back(std::move(out_of_order_.begin()->second));
            ++next_expected_;
        }
        out_of_order_.erase(out_of_order_.begin());
    }
    return delivered;
}

schema::session_frame session::make_frame(std::uint64_t first, std::uint64_t end)
{
    schema::session_frame frame;
    frame.set_epoch(epoch_);
    frame.set_incarnation(incarnation_);
    frame.set_first_sequence(first);
    frame.set_acknowledged(next_expected_);
    acknowledge_at_ = absl::InfiniteFuture();
    const auto last = std::min(end, first + max_items_per_frame);
    std::size_t bytes = 0;
    for (auto sequence = first; sequence < last && bytes < max_bytes_per_frame; ++sequence)
    {
        const auto& item = queue_[sequence - queue_begin_];
        bytes += item.ByteSizeLong();
        *frame.add_items() = item;
    }
    return frame;
}

std::optional<schema::session_frame> session::poll(absl::Time now)
{
    assert(queue_begin_ <= next_unsent_);
    const auto end = queue_begin_ + queue_.size();
    const bool is_acknowledgement_due = now >= acknowledge_at_;
    if (next_unsent_ < end && (now >= send_by_ || is_acknowledgement_due))
    {
        auto frame = make_frame(next_unsent_, end);
        next_unsent_ += static_cast<std::uint64_t>(frame.items_size());
        // If items are left, the next poll sends them immediately.
        send_by_ = next_unsent_ < end ? absl::InfinitePast() : absl::InfiniteFuture();
        resend_at_ = std::min(resend_at_, now + resend_delay(resends_));
        return frame;
    }
    if (queue_begin_ < next_unsent_ && now >= resend_at_)
    {
        ++resends_;
        resend_at_ = now + resend_delay(resends_);
        return make_frame(queue_begin_, next_unsent_);
    }
    if (is_acknowledgement_due)
    {
        return make_frame(next_unsent_, next_unsent_);
    }
    return std::nullopt;
}

} // namespace savoryreach::net
