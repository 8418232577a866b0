#ifndef SAVORYREACH_STORAGE_SEGMENT_WRITER_HPP
#define SAVORYREACH_STORAGE_SEGMENT_WRITER_HPP

#include "savoryreach/storage/disk.hpp"
#include "savoryreach/storage/log_recovery.hpp"
#include "savoryreach/storage/record_log.hpp"
#include "savoryreach/storage/snapshot_file.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace savoryreach::storage
{

/// Writes the segments and snapshots of one data folder. Records are buffered and become durable
/// together at flush. A new segment begins at start, after a snapshot and above a size limit; its
/// base record repeats the hard state, so that earlier segments can be removed. After a failed call
/// only discard_unsynced may be called.
class segment_writer
{
public:
    segment_writer(disk& disk, std::string folder, std::uint64_t segment_bytes,
                   const log_recovery::content& recovered);

    /// Begins the first segment of this process.
    [[nodiscard]] bool start();

    void add_entries(const std::vector<schema::log_entry>& entries);
    void add_truncation(std::uint64_t index);
    void add_hard_state(const schema::hard_state& state);

    /// Makes all buffered records durable with one write and one sync.
    [[nodiscard]] bool flush();

    /// Makes the snapshot durable and removes the segments and snapshots that it covers. Requires
    /// that all records are flushed.
    [[nodiscard]] bool save_snapshot(const schema::ledger_snapshot& snapshot);

    /// After a failed call: truncates the segment to its durable size. A failed sync leaves records
    /// in the page cache, which would be read back as if they were on the disk.
    [[nodiscard]] bool discard_unsynced();

    /// Why the last call failed.
    [[nodiscard]] const std::string& last_reason() const { return last_reason_; }

private:
    [[nodiscard]] std::string path_of(std::uint64_t sequence) const;
    [[nodiscard]] bool begin_segment();
    [[nodiscard]] bool remove_covered_segments();
    [[nodiscard]] bool fail(const std::string& reason);
    void add(const record& item);

    disk& disk_;                        ///< Outlives this object.
    std::string folder_;                ///< Without a trailing slash.
    std::uint64_t segment_bytes_;       ///< Size above which a new segment begins.
    std::vector<log_segment> segments_; ///< Ascending; the last one is being written.
    std::unique_ptr<disk_file> file_;   ///< The last segment.
    std::uint64_t synced_bytes_ = 0;    ///< Durable size of the last segment.
    std::string pending_;               ///< Encoded records that are not written yet.
    schema::hard_state hard_state_;     ///< As of the last added record.
    std::uint64_t next_index_ = 1;      ///< Index that the next entry must have.
    std::uint64_t base_index_ = 0;      ///< Last index of the newest snapshot.
    snapshot_file snapshots_;           ///< Snapshots in the same folder.
    std::string last_reason_;           ///< Why the last call failed.
};

} // namespace savoryreach::storage

#endif
