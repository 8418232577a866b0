#ifndef SAVORYREACH_TESTS_STORAGE_STORAGE_FIXTURE_HPP
#define SAVORYREACH_TESTS_STORAGE_STORAGE_FIXTURE_HPP

#include "memory_disk.hpp"
#include "savoryreach/storage/file_log_storage.hpp"

#include <gtest/gtest.h>

#include <semaphore>

namespace savoryreach::storage
{

/// Opens a storage on a memory disk and records its callbacks.
class storage_fixture : public testing::Test
{
public:
    static std::vector<schema::log_entry> entries(std::uint64_t first, std::uint64_t last,
                                                  std::uint64_t term = 1)
    {
        std::vector<schema::log_entry> out;
        for (std::uint64_t i = first; i <= last; ++i)
        {
            out.emplace_back();
            out.back().set_index(i);
            out.back().set_term(term);
            out.back().mutable_command()->mutable_claims()->set_owner_epoch(i * 100 + term);
        }
        return out;
    }

    static schema::ledger_snapshot snapshot(std::uint64_t last_index)
    {
        schema::ledger_snapshot out;
        out.set_schema_version(1);
        out.set_last_index(last_index);
        out.set_last_term(1);
        out.add_claims()->set_submission_id("swan-lake-17");
        return out;
    }

    /// Opens the folder. close joins the writer thread, so results are complete after it.
    bool open(std::uint64_t segment_bytes = 1U << 20U)
    {
        close();
        persisted.clear();
        failures.clear();
        auto result =
            file_log_storage::open(disk, "data",
                                   {[this](std::uint64_t ticket) { persisted.push_back(ticket); },
                                    [this](const std::string& why)
                                    {
                                        failures.push_back(why);
                                        answered.release();
                                    },
                                    [this](file_log_storage::recovered_content content)
                                    {
                                        state = std::move(content.state);
                                        ++reopenings;
                                        answered.release();
                                    }},
                                   {segment_bytes}, reason);
        if (!result)
        {
            return false;
        }
        storage = std::move(result->storage);
        state = std::move(result->content.state);
        repairs = std::move(result->content.repairs);
        return true;
    }

    /// Waits for the failure of a queued write.
    void wait_for_failure() { answered.acquire(); }

    /// Opens the failed storage again; false if that failed, too.
    bool reopen()
    {
        const std::size_t before = reopenings;
        storage->reopen();
        answered.acquire();
        return reopenings > before;
    }

    void close() { storage.reset(); }

    /// "index/term" of the loaded entries, separated by spaces.
    [[nodiscard]] std::string loaded() const
    {
        std::string out;
        for (const auto& it : state.entries)
        {
            EXPECT_EQ(it.command().claims().owner_epoch(), it.index() * 100 + it.term());
            out += std::to_string(it.index()) + "/" + std::to_string(it.term()) + " ";
        }
        return out;
    }

    [[nodiscard]] std::string newest_segment()
    {
        return std::prev(std::find_if(disk.files().begin(), disk.files().end(),
                                      [](const auto& it) { return it.first > "data/m"; }))
            ->first;
    }

    memory_disk disk;
    std::unique_ptr<file_log_storage> storage;
    keeper::stored_state state;
    std::vector<std::string> repairs;
    std::vector<std::uint64_t> persisted;
    std::vector<std::string> failures;
    std::size_t reopenings = 0;
    std::counting_semaphore<> answered{0}; ///< Released by each failure and each reopening.
    std::string reason;
};

} // namespace savoryreach::storage

#endif
