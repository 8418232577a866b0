#ifndef SAVORYREACH_NET_FRAME_HPP
#define SAVORYREACH_NET_FRAME_HPP

#include "savoryreach/base/error.hpp"
#include "schema/generated/wire.pb.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savoryreach::net
{

/// Size of the length prefix of each envelope, which is little endian; bytes.
inline constexpr std::size_t frame_header_bytes = 4;

/// Largest envelope on the wire, in bytes; a longer length means a faulty peer or another protocol.
inline constexpr std::size_t max_frame_bytes = 32UL * 1024 * 1024;

/// Appends \p message as one frame to \p out.
void append_frame(std::string& out, const schema::envelope& message);

/// Splits a byte stream into envelopes. After an error it returns no more envelopes.
class frame_decoder
{
public:
    void feed(std::string_view bytes);
    /// Longer frames are errors from now on.
    void limit_frames(std::size_t bytes) { max_bytes_ = bytes; }
    /// Memory of the buffer, in bytes, after \p size more bytes.
    [[nodiscard]] std::size_t capacity_with(std::size_t size) const;

    /// The next whole envelope; nullopt when more bytes are needed or after an error.
    [[nodiscard]] std::optional<schema::envelope> next();

    /// The error that ended decoding; empty while the stream is valid.
    [[nodiscard]] const std::optional<base::reason>& error() const { return error_; }

private:
    std::string buffer_; ///< received bytes, with those already decoded at the start
    std::size_t max_bytes_ = max_frame_bytes;
    std::size_t consumed_ = 0;          ///< decoded bytes at the start of buffer_
    std::optional<base::reason> error_; ///< set when the stream is invalid
};

} // namespace savoryreach::net

#endif
