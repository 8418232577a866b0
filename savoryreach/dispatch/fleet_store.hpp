#ifndef SAVORYREACH_DISPATCH_FLEET_STORE_HPP
#define SAVORYREACH_DISPATCH_FLEET_STORE_HPP

#include "savoryreach/keeper/state_machine.hpp"
#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_set.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace savoryreach::dispatch
{

/// Host and path of the requests for a job.
struct job_address
{
    std::string host;
    std::string path;

    friend auto operator<=>(const job_address&, const job_address&) = default;
};

/// Replicated state of the core: the newest configuration, the hosts whose endpoints may have
/// running tasks, the data centres that are being evacuated, and the latest cancelled jobs. Changes
/// only by committed log entries.
class fleet_store final : public keeper::state_machine
{
public:
    void apply(const schema::log_entry& entry) override;
    void save(schema::ledger_snapshot& snapshot) const override;
    bool load(const schema::ledger_snapshot& snapshot) override;

    /// The configuration in force; its version is 0 while there is none.
    [[nodiscard]] const schema::fleet_config& config() const { return config_; }
    [[nodiscard]] const absl::btree_set<std::string>& hosts() const { return hosts_; }
    /// Data centres on whose endpoints no task may start.
    [[nodiscard]] const absl::btree_set<std::string>& evacuated() const { return evacuated_; }
    /// True if the job is among the latest cancelled ones: no copy of its request may start it.
    [[nodiscard]] bool is_cancelled(const job_address& it) const { return cancelled_.contains(it); }

    /// Number of cancelled jobs that are kept, some 0.3 MB. They are bounded by number and not by
    /// time, since members' clocks may step.
    static constexpr std::size_t max_cancelled = 4096;

private:
    void add_cancelled(const schema::cancel_job& it);

    schema::fleet_config config_;
    absl::btree_set<std::string> hosts_;
    absl::btree_set<std::string> evacuated_;
    absl::btree_set<job_address> cancelled_;
    std::deque<job_address> cancelled_order_; ///< oldest first
};

} // namespace savoryreach::dispatch

#endif
