#include "savoryreach/base/seeded_random.hpp"
#include "savoryreach/storage/numbered_name.hpp"
#include "savoryreach/storage/posix_disk.hpp"
#include "storage_fixture.hpp"

#include <array>
#include <filesystem>
#include <gmock/gmock.h>

namespace savoryreach::storage
{
namespace
{

using testing::HasSubstr;

class file_log_storage_test : public storage_fixture
{
public:
    /// Runs a fixed sequence of writes on one thread. Returns the number of acknowledged steps.
    std::size_t write_steps()
    {
        log_recovery recovery(disk, "data");
        const auto found = recovery.run();
        if (!found)
        {
            return 0;
        }
        segment_writer writer(disk, "data", 1, *found);
        const auto append = [&](std::uint64_t first, std::uint64_t last, std::uint64_t term)
        {
            writer.add_entries(entries(first, last, term));
            return writer.flush();
        };
        const auto replace_tail = [&]
        {
            writer.add_truncation(3);
            return append(3, 5, 2);
        };
        std::size_t done = 0;
        const bool all = writer.start() && append(1, 3, 1) && ++done > 0 &&
                         writer.save_snapshot(snapshot(2)) && ++done > 0 && replace_tail() &&
                         ++done > 0 && writer.save_snapshot(snapshot(9)) && ++done > 0 &&
                         append(10, 10, 2) && ++done > 0;
        EXPECT_EQ(all, done == 5);
        return done;
    }
};

// An entry with text that is not UTF-8 was written, but stopped every later start.
TEST_F(file_log_storage_test, entry_with_text_of_any_bytes_is_read_at_the_next_start)
{
    const std::string text = "\xa9"
                             "en\xe8"
                             "ur";
    ASSERT_TRUE(open()) << reason;
    auto written = entries(1, 2);
    written[0].mutable_command()->mutable_fleet_config()->add_queues()->set_name(text);
    written[1].mutable_command()->mutable_claims()->add_claims()->set_submission_id(text);
    storage->append(written);
    ASSERT_TRUE(open()) << reason;
    ASSERT_EQ(state.entries.size(), 2U);
    EXPECT_EQ(state.entries[0].command().fleet_config().queues(0).name(), text);
    EXPECT_EQ(state.entries[1].command().claims().claims(0).submission_id(), text);
}

// Guards against acknowledged state that is missing after a restart, on a real disk.
TEST_F(file_log_storage_test, reopen_on_posix_disk_gives_same_state_and_second_holder_is_refused)
{
    const std::string folder =
        testing::TempDir() + "savoryreach-storage-" + std::to_string(::getpid());
    posix_disk real;
    schema::hard_state hard;
    hard.set_term(7);
    hard.set_voted_for("keeper-2");
    const auto open_real = [&]
    {
        return file_log_storage::open(real, folder,
                                      {[](std::uint64_t) {},
                                       [](const std::string&) {
                                       }},
                                      {}, reason);
    };
    {
        auto first = open_real();
        ASSERT_TRUE(first) << reason;
        first->storage->save_hard_state(hard);
        first->storage->append(entries(1, 5));
        first->storage->truncate_from(4);
        first->storage->append(entries(4, 6, 2));
        first->storage->save_snapshot(snapshot(2));
        // Guards against two processes writing one folder.
        EXPECT_FALSE(open_real());
        EXPECT_THAT(reason, HasSubstr("another process"));
    }
    auto second = open_real();
    ASSERT_TRUE(second) << reason;
    state = second->content.state;
    EXPECT_EQ(loaded(), "3/1 4/2 5/2 6/2 ");
    EXPECT_EQ(state.hard_state.SerializeAsString(), hard.SerializeAsString());
    EXPECT_EQ(state.snapshot->SerializeAsString(), snapshot(2).SerializeAsString());
    second.reset();
    std::filesystem::remove_all(folder);
}

// Guards against an incomplete last write that prevents a keeper from starting or affects earlier
// records.
TEST_F(file_log_storage_test, torn_tail_at_every_offset_of_last_record_is_truncated_and_reported)
{
    ASSERT_TRUE(open());
    storage->append(entries(1, 2));
    close();
    const std::string path = newest_segment();
    const std::size_t two = disk.files()[path]->content.size();
    ASSERT_TRUE(open());
    close();
    disk.files().erase(newest_segment());
    record_log(1).encode({record_type::entry, 1, 3, entries(3, 3)[0].SerializeAsString()}, 0,
                         disk.files()[path]->content);
    const std::string whole = disk.files()[path]->content;
    for (std::size_t size = two + 1; size < whole.size(); ++size)
    {
        disk.files().erase("data/log-00000000000000000002");
        disk.files()[path]->content = whole.substr(0, size);
        ASSERT_TRUE(open()) << reason;
        EXPECT_EQ(loaded(), "1/1 2/1 ");
        ASSERT_EQ(repairs.size(), 1);
        EXPECT_THAT(repairs[0], HasSubstr("torn tail"));
        ASSERT_TRUE(open()) << reason;
        EXPECT_TRUE(repairs.empty());
        close();
        disk.files().erase("data/log-00000000000000000003");
    }
}

// Guards against treating damaged durable records as a torn tail, which would lose claims.
TEST_F(file_log_storage_test, flipped_byte_in_any_record_is_refused_with_file_and_offset)
{
    ASSERT_TRUE(open());
    storage->append(entries(1, 4));
    close();
    const std::string path = newest_segment();
    for (std::size_t at = 0; at < disk.files()[path]->content.size(); ++at)
    {
        disk.files()[path]->content[at] ^= 0x10;
        EXPECT_FALSE(open()) << "offset " << at;
        EXPECT_THAT(reason, HasSubstr(path));
        EXPECT_THAT(reason, HasSubstr("at offset "));
        disk.files()[path]->content[at] ^= 0x10;
    }
    EXPECT_TRUE(open()) << reason;
}

// Guards against segments that accumulate without limit, and against dropping entries that a
// snapshot does not cover.
TEST_F(file_log_storage_test, snapshot_drops_covered_segments_and_keeps_later_entries)
{
    for (std::uint64_t i = 1; i <= 6; ++i)
    {
        // Each open begins a segment.
        ASSERT_TRUE(open());
        storage->append(entries(i, i));
    }
    ASSERT_TRUE(open());
    const std::size_t before = disk.files().size();
    storage->save_snapshot(snapshot(4));
    close();
    EXPECT_LT(disk.files().size(), before);
    ASSERT_TRUE(open()) << reason;
    EXPECT_EQ(loaded(), "5/1 6/1 ");
    // A snapshot from the leader may be ahead of the local log; entries continue after it.
    storage->save_snapshot(snapshot(20));
    storage->append(entries(21, 22));
    ASSERT_TRUE(open()) << reason;
    EXPECT_EQ(loaded(), "21/1 22/1 ");
    EXPECT_EQ(state.snapshot->last_index(), 20);
}

// Guards against acknowledging writes after a failed sync: the content on disk is then unknown.
TEST_F(file_log_storage_test, failed_sync_reports_once_and_persists_nothing_more)
{
    ASSERT_TRUE(open());
    storage->append(entries(1, 1));
    ASSERT_TRUE(open());
    disk.fail_syncs(true);
    storage->append(entries(2, 2));
    close();
    EXPECT_TRUE(persisted.empty());
    EXPECT_THAT(failures, testing::ElementsAre("injected failure"));
    disk.fail_syncs(false);
    // The unsynced entry must not be read back, even without a loss of power.
    ASSERT_TRUE(open()) << reason;
    EXPECT_EQ(loaded(), "1/1 ");
}

// Guards against a loss of power between any two disk operations that loses an acknowledged write
// or leaves a folder that can't be opened.
TEST_F(file_log_storage_test, loss_of_power_after_any_operation_keeps_acknowledged_writes)
{
    std::size_t steps = 0;
    for (std::size_t stop = 1; steps < 5; ++stop)
    {
        ASSERT_LT(stop, 200) << "the sequence never completes";
        disk = memory_disk();
        disk.fail_from(stop);
        steps = write_steps();
        disk.lose_power();
        ASSERT_TRUE(open(1)) << "stop " << stop << ": " << reason;
        const std::uint64_t covered = state.snapshot ? state.snapshot->last_index() : 0;
        const std::uint64_t last = state.entries.empty() ? covered : state.entries.back().index();
        EXPECT_GE(last, (std::array{0, 3, 2, 5, 9, 10}).at(steps)) << "stop " << stop;
        EXPECT_GE(covered, (std::array{0, 0, 2, 2, 9, 9}).at(steps)) << "stop " << stop;
        EXPECT_TRUE(steps != 3 || covered > 2 || loaded() == "3/2 4/2 5/2 ") << loaded();
        close();
    }
}

// A member did not start after a loss of power that brought some of the segments back that a
// snapshot had made superfluous: the gap between them was taken for damage.
TEST_F(file_log_storage_test, loss_of_power_after_snapshot_with_any_removed_segment_back_opens)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        base::seeded_random random(seed);
        disk = memory_disk();
        std::uint64_t last = 0;
        for (int round = 0; round < 4; ++round)
        {
            // Each write begins a segment.
            ASSERT_TRUE(open(1)) << reason;
            ASSERT_EQ(state.entries.empty() ? last : state.entries.back().index(), last);
            const std::uint64_t count = 3 + random.below(5);
            for (std::uint64_t n = 0; n < count; ++n)
            {
                ++last;
                storage->append(entries(last, last));
            }
            const std::uint64_t covered = last - random.below(3);
            storage->save_snapshot(snapshot(covered));
            close();
            ASSERT_EQ(persisted.size(), count + 1);
            disk.lose_power(random);
            ASSERT_TRUE(open(1)) << reason;
            ASSERT_TRUE(state.snapshot);
            EXPECT_EQ(state.snapshot->last_index(), covered);
            EXPECT_EQ(state.entries.size(), last - covered);
            close();
        }
    }
}

// Records that a killed process had written and not synced were read back and counted as stored;
// the next loss of power took them from below a later segment, and the member did not start again.
TEST_F(file_log_storage_test, records_read_after_a_kill_survive_the_next_loss_of_power)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        base::seeded_random random(seed);
        disk = memory_disk();
        std::uint64_t last = 0;
        for (int round = 0; round < 6; ++round)
        {
            ASSERT_TRUE(open(200)) << reason;
            const std::uint64_t read = !state.entries.empty()
                                           ? state.entries.back().index()
                                           : (state.snapshot ? state.snapshot->last_index() : 0);
            ASSERT_GE(read, last);
            last = read;
            // The process is killed at one of the operations that follow.
            disk.fail_from(disk.changes() + 1 + random.below(12));
            for (std::uint64_t n = 1; n <= 3; ++n)
            {
                storage->append(entries(read + n, read + n));
            }
            storage->save_snapshot(snapshot(read + 1));
            storage->append(entries(read + 4, read + 4));
            close();
            last += std::min<std::size_t>(persisted.size(), 3) + (persisted.size() == 5 ? 1 : 0);
            if (random.below(2) == 0)
            {
                disk.lose_power(random);
            }
            disk.recover();
        }
    }
}

// One refused write ended a storage for good, although its disk took writes again.
TEST_F(file_log_storage_test, reopening_after_a_refused_write_keeps_what_was_acknowledged)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        base::seeded_random random(seed);
        disk = memory_disk();
        ASSERT_TRUE(open(150)) << reason;
        std::uint64_t last = 0;
        for (int round = 0; round < 4; ++round)
        {
            persisted.clear();
            const bool is_sync = random.below(3) == 0;
            disk.fail_syncs(is_sync);
            disk.fail_from(is_sync ? 0 : disk.changes() + 1 + random.below(8));
            for (std::uint64_t n = 1; n <= 4; ++n)
            {
                storage->append(entries(last + n, last + n));
            }
            storage->save_snapshot(snapshot(last + 2));
            storage->append(entries(last + 5, last + 5));
            wait_for_failure();
            const std::uint64_t acknowledged =
                last + std::min<std::size_t>(persisted.size(), 4) + (persisted.size() == 6 ? 1 : 0);
            disk.fail_from(disk.changes() + 1);
            EXPECT_FALSE(reopen()) << "the disk refuses all changes";
            disk.recover();
            ASSERT_TRUE(reopen()) << failures.back();
            last = !state.entries.empty() ? state.entries.back().index()
                                          : (state.snapshot ? state.snapshot->last_index() : 0);
            EXPECT_GE(last, acknowledged);
            storage->append(entries(last + 1, last + 1));
            close();
            ++last;
            disk.lose_power(random);
            ASSERT_TRUE(open(150)) << reason;
            ASSERT_FALSE(state.entries.empty());
            EXPECT_EQ(state.entries.back().index(), last);
        }
    }
}

// A failed sync leaves records in the page cache; reopening must not read them back as durable.
TEST_F(file_log_storage_test, reopening_after_a_failed_sync_drops_the_unsynced_records)
{
    ASSERT_TRUE(open());
    storage->append(entries(1, 1));
    ASSERT_TRUE(open());
    disk.fail_from(disk.changes() + 2); // the write succeeds, its sync and all later changes fail
    storage->append(entries(2, 2));
    wait_for_failure();
    EXPECT_TRUE(persisted.empty());
    disk.recover();
    ASSERT_TRUE(reopen());
    EXPECT_EQ(loaded(), "1/1 ");
    storage->append(entries(2, 3, 4));
    close();
    ASSERT_TRUE(open()) << reason;
    EXPECT_EQ(loaded(), "1/1 2/4 3/4 ");
}

// Guards against accepting a log from which a segment that is still needed is missing.
TEST_F(file_log_storage_test, missing_segment_with_entries_after_snapshot_is_refused)
{
    for (std::uint64_t i = 1; i <= 6; ++i)
    {
        ASSERT_TRUE(open());
        storage->append(entries(i, i));
    }
    storage->save_snapshot(snapshot(2));
    close();
    const auto whole = disk.files();
    ASSERT_EQ(whole.size(), 6U) << "segments 3 to 7 and the snapshot";
    for (std::uint64_t sequence = 3; sequence <= 6; ++sequence)
    {
        disk.files() = whole;
        const auto name = "data/" + numbered_name(log_recovery::segment_prefix, sequence);
        ASSERT_EQ(disk.files().erase(name), 1U);
        EXPECT_FALSE(open()) << name;
        EXPECT_THAT(reason, HasSubstr("missing"));
    }
    disk.files() = whole;
    ASSERT_TRUE(open()) << reason;
    EXPECT_EQ(loaded(), "3/1 4/1 5/1 6/1 ");
}

// Guards against crashes on damaged files and against accepting altered records.
TEST_F(file_log_storage_test, seeded_mutations_never_give_altered_records)
{
    constexpr std::uint64_t seed = 20261204;
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    base::seeded_random random(seed);
    ASSERT_TRUE(open());
    storage->append(entries(1, 10));
    storage->save_snapshot(snapshot(6));
    storage->append(entries(11, 40));
    close();
    std::map<std::string, std::string> original;
    for (const auto& [name, node] : disk.files())
    {
        original[name] = node->content;
    }
    int refused = 0;
    for (int round = 0; round < 3000; ++round)
    {
        disk = memory_disk();
        for (const auto& [name, content] : original)
        {
            disk.files()[name] =
                std::make_shared<memory_disk::inode>(memory_disk::inode{content, content, {}});
        }
        auto victim =
            std::next(disk.files().begin(), static_cast<long>(random.below(disk.files().size())));
        std::string& bytes = victim->second->content;
        const std::size_t at = random.below(bytes.size());
        switch (random.below(4))
        {
        case 0:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 + random.below(255)));
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.insert(at, bytes.substr(random.below(at + 1), random.below(100)));
            break;
        default:
            bytes.erase(at, 1 + random.below(200));
        }
        if (!open())
        {
            ++refused;
            continue;
        }
        EXPECT_EQ(state.snapshot->SerializeAsString(), snapshot(6).SerializeAsString());
        const std::string full = "7/1 8/1 9/1 10/1 11/1 12/1 13/1 14/1 15/1 16/1 17/1 18/1 19/1 "
                                 "20/1 21/1 22/1 23/1 24/1 25/1 26/1 27/1 28/1 29/1 30/1 31/1 "
                                 "32/1 33/1 34/1 35/1 36/1 37/1 38/1 39/1 40/1 ";
        EXPECT_TRUE(full.starts_with(loaded())) << loaded();
        close();
    }
    EXPECT_GT(refused, 1500);
}

} // namespace
} // namespace savoryreach::storage
