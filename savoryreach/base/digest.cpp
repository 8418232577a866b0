#include "savoryreach/base/digest.hpp"

#include <absl/strings/escaping.h>
#include <xxhash.h>

namespace savoryreach::base
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string content_digest(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return {reinterpret_cast<const char*>(canonical.digest), sizeof canonical.digest};
}

std::string to_hex(std::string_view bytes)
{
    return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

} // namespace savoryreach::base
