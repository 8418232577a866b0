#ifndef SAVORYREACH_DISPATCH_FLEET_STORE_HPP
#define SAVORYREACH_DISPATCH_FLEET_STORE_HPP

#include "savoryreach/keeper/state_machine.hpp"
#include "schema/generated/dispatch.pb.h"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <string>

namespace savoryreach::dispatch
{

/// Replicated state of the core: the newest configuration, the hosts whose endpoints may have
/// running tasks, and the data centres that are being evacuated. Changes only by committed log
/// entries.
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

private:
    schema::fleet_config config_;
    absl::btree_set<std::string> hosts_;
    absl::btree_set<std::string> evacuated_;
};

} // namespace savoryreach::dispatch

#endif
