#include "savoryreach/net/frame.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace savoryreach::net
{
namespace
{

/// Larger buffers are released when they are empty; bytes.
constexpr std::size_t max_idle_capacity = 65536;

void store_length(char* to, std::uint32_t length)
{
    for (std::size_t n = 0; n < frame_header_bytes; ++n)
    {
        to[n] = static_cast<char>(length >> (8 * n));
    }
}

std::uint32_t load_length(const char* from)
{
    std::uint32_t length = 0;
    for (std::size_t n = 0; n < frame_header_bytes; ++n)
    {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(from[n])) << (8 * n);
    }
    return length;
}

} // namespace

void append_frame(std::string& out, const schema::envelope& message)
{
    const auto length = message.ByteSizeLong();
    assert(length <= max_frame_bytes);
    const auto begin = out.size();
    out.resize(begin + frame_header_bytes + length);
    store_length(out.data() + begin, static_cast<std::uint32_t>(length));
    message.SerializeWithCachedSizesToArray(
        reinterpret_cast<std::uint8_t*>(out.data() + begin + frame_header_bytes));
}

void frame_decoder::feed(std::string_view bytes)
{
    if (consumed_ > 0)
    {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    if (const auto capacity = capacity_with(bytes.size()); capacity != buffer_.capacity())
    {
        std::string moved;
        moved.reserve(capacity);
        moved.append(buffer_);
        buffer_.swap(moved);
    }
    buffer_.append(bytes);
}

std::size_t frame_decoder::capacity_with(std::size_t size) const
{
    const auto rest = buffer_.size() - consumed_;
    const auto needed = rest + size;
    if (rest == 0 && buffer_.capacity() > max_idle_capacity)
    {
        return std::max(needed, max_idle_capacity);
    }
    if (needed <= buffer_.capacity())
    {
        return buffer_.capacity();
    }
    // Not beyond the frame, but no faster than its bytes arrive.
    const auto frame = rest < frame_header_bytes
                           ? needed
                           : frame_header_bytes + load_length(buffer_.data() + consumed_);
    return std::max(needed, std::min(2 * buffer_.capacity(), frame));
}

std::optional<schema::envelope> frame_decoder::next()
{
    if (error_ || buffer_.size() - consumed_ < frame_header_bytes)
    {
        return std::nullopt;
    }
    const auto length = load_length(buffer_.data() + consumed_);
    if (length > max_bytes_)
    {
        error_ = base::reason{base::error_kind::too_large,
                              absl::StrCat("frame of ", length, " bytes exceeds ", max_bytes_)};
        return std::nullopt;
    }
    if (buffer_.size() - consumed_ - frame_header_bytes < length)
    {
        return std::nullopt;
    }
    schema::envelope message;
    if (!message.ParseFromArray(buffer_.data() + consumed_ + frame_header_bytes,
                                static_cast<int>(length)))
    {
        error_ = base::reason{base::error_kind::wrong_type, "frame is not a valid envelope"};
        return std::nullopt;
    }
    consumed_ += frame_header_bytes + length;
    return message;
}

} // namespace savoryreach::net
