#ifndef SAVORYREACH_SIMULATION_FAKE_DISK_HPP
#define SAVORYREACH_SIMULATION_FAKE_DISK_HPP

#include "savoryreach/keeper/log_storage.hpp"
#include "tests/simulation/virtual_clock.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace savoryreach::simulation
{

/// A keeper's storage on virtual time. One sync at a time makes all writes durable that were queued
/// when it began. A crash loses the writes that are not durable.
class fake_disk final : public keeper::log_storage
{
public:
    explicit fake_disk(virtual_clock& clock) : clock_(clock) {}

    std::uint64_t append(std::vector<schema::log_entry> entries) override;
    std::uint64_t truncate_from(std::uint64_t index) override;
    std::uint64_t save_hard_state(const schema::hard_state& state) override;
    std::uint64_t save_snapshot(const schema::ledger_snapshot& snapshot) override;

    /// Time that each sync takes from now on; InfiniteDuration keeps writes from becoming durable.
    void set_sync_delay(absl::Duration delay) { sync_delay_ = delay; }
    /// Every later sync fails.
    void fail_syncs() { failing_ = true; }
    /// The disk was replaced by one that holds what is durable; for a new process.
    void repair() { failing_ = failed_ = false; }

    /// When the present sync ends; InfiniteFuture when none is running.
    [[nodiscard]] absl::Time next_sync() const { return sync_ends_at_; }
    /// Ends the sync that is due. Gives the ticket that is durable now, or nullopt when the sync
    /// failed or none is due; see has_failed().
    std::optional<std::uint64_t> finish_due();
    [[nodiscard]] bool has_failed() const { return failed_; }

    /// Loses all writes that are not durable.
    void crash();
    /// Loses everything, as when the data folder is lost.
    void erase();
    /// What a keeper that starts now finds.
    [[nodiscard]] const keeper::stored_state& durable() const { return durable_; }

private:
    using write = std::function<void(keeper::stored_state&)>;

    std::uint64_t queue(write it);
    void begin_sync();

    virtual_clock& clock_;
    absl::Duration sync_delay_ = absl::Milliseconds(3);
    bool failing_ = false;
    bool failed_ = false;
    keeper::stored_state durable_;
    std::deque<std::pair<std::uint64_t, write>> queue_; ///< by ticket; not durable yet
    std::uint64_t last_ticket_ = 0;
    std::uint64_t syncing_ = 0; ///< last ticket of the present sync
    absl::Time sync_ends_at_ = absl::InfiniteFuture();
};

} // namespace savoryreach::simulation

#endif
