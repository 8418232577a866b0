#ifndef SAVORYREACH_BASE_DIGEST_HPP
#define SAVORYREACH_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace savoryreach::base
{

/// 64-bit hash that is equal in every process and version (unlike absl::Hash, which is salted).
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// 128-bit content digest, 16 bytes.
[[nodiscard]] std::string content_digest(std::string_view bytes);

/// Lower-case hexadecimal form of \p bytes.
[[nodiscard]] std::string to_hex(std::string_view bytes);

} // namespace savoryreach::base

#endif
