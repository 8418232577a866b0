#ifndef SAVORYREACH_STORAGE_LOG_RECOVERY_HPP
#define SAVORYREACH_STORAGE_LOG_RECOVERY_HPP

#include "savoryreach/keeper/log_storage.hpp"
#include "savoryreach/storage/disk.hpp"
#include "savoryreach/storage/record_log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savoryreach::storage
{

/// A segment file with entries that may still be needed.
struct log_segment
{
    std::uint64_t sequence = 0;
    std::uint64_t last_index = 0; ///< largest index of an entry in it; 0 when it has none

    friend bool operator==(const log_segment&, const log_segment&) = default;
};

/// Reads the data folder of a keeper at start: the newest snapshot, then the segments that continue
/// it, in order. Removes temporary files, superseded snapshots and segments, and a torn tail (an
/// incomplete last write), and syncs what it has read; makes no other change. A loss of power may
/// bring any of the superseded files back, so that their numbers can have gaps.
class log_recovery
{
public:
    static constexpr std::string_view segment_prefix = "log-";

    /// Content of the data folder.
    struct content
    {
        keeper::stored_state state;
        std::vector<log_segment> segments; ///< ascending
        std::vector<std::string> repairs;  ///< repairs made, one sentence each
    };

    log_recovery(disk& disk, std::string folder);

    /// Nullopt when the folder can't be read or is damaged; see last_reason.
    [[nodiscard]] std::optional<content> run();

    /// Why run failed, with the file and the offset.
    [[nodiscard]] const std::string& last_reason() const { return last_reason_; }

private:
    [[nodiscard]] bool list_files();
    [[nodiscard]] bool load_snapshot();
    /// Records of one segment file.
    struct segment_content
    {
        std::uint64_t sequence = 0;
        std::vector<record> records;
    };

    [[nodiscard]] bool read_segments();
    [[nodiscard]] bool read_segment(bool is_newest, segment_content& segment);
    [[nodiscard]] bool starts_within_snapshot(const segment_content& segment) const;
    [[nodiscard]] bool sync_files();
    [[nodiscard]] bool remove_superseded_files();
    [[nodiscard]] bool apply_segment(const segment_content& segment);
    [[nodiscard]] bool truncate_tail(const std::string& path, std::uint64_t size,
                                     std::uint64_t valid);
    [[nodiscard]] std::string path_of(std::uint64_t sequence) const;
    [[nodiscard]] std::uint64_t covered_index() const;
    [[nodiscard]] bool apply(const record& item, bool is_first);
    [[nodiscard]] bool apply_base(const record& item);
    [[nodiscard]] bool apply_entry(const record& item);
    [[nodiscard]] bool check_completeness();
    [[nodiscard]] bool fail(std::string reason);

    disk& disk_;                           ///< Outlives this object.
    std::string folder_;                   ///< Without a trailing slash.
    content content_;                      ///< Filled while reading.
    std::vector<std::uint64_t> sequences_; ///< Sequence numbers of the segment files, ascending.
    std::vector<std::uint64_t> snapshots_; ///< Last indexes of the snapshot files, ascending.
    std::vector<segment_content>
        loaded_;                   ///< The segments that continue the snapshot, newest first.
    std::uint64_t base_index_ = 0; ///< Snapshot index of the last base record.
    std::uint64_t next_index_ = 0; ///< Index that the next entry must have; 0: any.
    std::string last_reason_;      ///< Why run failed.
};

} // namespace savoryreach::storage

#endif
