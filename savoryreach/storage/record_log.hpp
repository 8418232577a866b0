#ifndef SAVORYREACH_STORAGE_RECORD_LOG_HPP
#define SAVORYREACH_STORAGE_RECORD_LOG_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryreach::storage
{

/// Type of a record. The numeric values are part of the file format and never change.
enum class record_type : std::uint32_t
{
    base = 1,       ///< first record of a segment: index of the snapshot; `term` holds the index of
                    ///< the next entry; payload: hard_state
    entry = 2,      ///< payload: log_entry
    truncate = 3,   ///< all entries from `index` on are removed
    hard_state = 4, ///< payload: hard_state
};

/// One record of a segment file.
struct record
{
    record_type type = record_type::entry;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    std::string payload;

    friend bool operator==(const record&, const record&) = default;
};

/// Encoder and reader of one segment file: a header of 32 bytes (magic, format version, sequence,
/// checksum) and records (length, type, term, index, header checksum, payload checksum, payload),
/// all numbers little-endian. Checksums are xxh3 seeded with the segment's sequence and the
/// record's offset, so a record copied to another position is rejected. The header has a checksum
/// of its own: without it a flipped bit in the length would look like a torn tail, an incomplete
/// last write.
class record_log
{
public:
    static constexpr std::uint32_t format_version = 1;
    static constexpr std::size_t file_header_bytes = 32;
    static constexpr std::size_t record_header_bytes = 40;
    /// Limit of a payload; a longer one is never written.
    static constexpr std::uint64_t max_payload_bytes = 1ULL << 30U;

    /// Content of a segment file.
    struct content
    {
        std::vector<record> records;
        /// Size up to which the file is valid; less than the file size when its tail is torn.
        std::uint64_t valid_bytes = 0;
        bool torn = false;
    };

    explicit record_log(std::uint64_t sequence) : sequence_(sequence) {}

    [[nodiscard]] std::string encode_file_header() const;

    /// Appends \p item to \p out; \p offset is the offset in the file at which out[0] is written.
    void encode(const record& item, std::uint64_t offset, std::string& out) const;

    /// Reads a whole file. \p may_be_torn: this is the newest segment, whose last write may be
    /// incomplete. Any other damage returns nullopt; see last_reason.
    [[nodiscard]] std::optional<content> read(std::string_view bytes, bool may_be_torn);

    /// Why the last read failed, with the offset.
    [[nodiscard]] const std::string& last_reason() const { return last_reason_; }

private:
    [[nodiscard]] bool check_file_header(std::string_view bytes);
    [[nodiscard]] std::uint64_t checksum_seed(std::uint64_t offset) const;
    bool fail(std::uint64_t offset, std::string_view problem);

    std::uint64_t sequence_;  ///< Number of the segment; part of its file name.
    std::string last_reason_; ///< Why the last read failed.
};

} // namespace savoryreach::storage

#endif
