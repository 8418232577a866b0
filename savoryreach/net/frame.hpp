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

/// Bytes of the length that precedes each envelope, little endian.
inline constexpr std::size_t frame_header_bytes = 4;

/// Largest envelope on the wire; a longer length means a broken or foreign peer.
inline constexpr std::size_t max_frame_bytes = 32UL * 1024 * 1024;

/// Appends \p message as one frame to \p out.
void append_frame(std::string& out, const schema::envelope& message);

/// Cuts a byte stream into envelopes. After an error it yields nothing more.
class frame_decoder
{
public:
    void feed(std::string_view bytes);

    /// The next whole envelope; nullopt when more bytes are needed or after an error.
    [[nodiscard]] std::optional<schema::envelope> next();

    /// Why the stream can't be read on; empty while it can.
    [[nodiscard]] const std::optional<base::reason>& error() const { return error_; }

private:
    std::string buffer_;                ///< bytes that are not decoded yet
    std::size_t consumed_ = 0;          ///< decoded bytes at the start of buffer_
    std::optional<base::reason> error_; ///< set once the stream is broken
};

} // namespace savoryreach::net

#endif
