#ifndef SAVORYREACH_STORAGE_LITTLE_ENDIAN_HPP
#define SAVORYREACH_STORAGE_LITTLE_ENDIAN_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryreach::storage
{

inline void put_u64(std::string& out, std::uint64_t value, std::size_t width = 8)
{
    for (std::size_t i = 0; i < width; ++i)
    {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
}

inline void put_u32(std::string& out, std::uint32_t value)
{
    put_u64(out, value, 4);
}

/// The number at offset \p at; the caller ensures that \p bytes is long enough.
[[nodiscard]] inline std::uint64_t get_u64(std::string_view bytes, std::size_t at,
                                           std::size_t width = 8)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
    {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return value;
}

[[nodiscard]] inline std::uint32_t get_u32(std::string_view bytes, std::size_t at)
{
    return static_cast<std::uint32_t>(get_u64(bytes, at, 4));
}

} // namespace savoryreach::storage

#endif
